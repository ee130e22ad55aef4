import type { FaultKind } from '../types/fault-kind.ts';
import type { FaultSpan } from '../types/fault-span.ts';
import type { ObservedAnswer } from '../types/observed-answer.ts';
import type { ObservedRun } from '../types/observed-run.ts';
import type { SentRequest } from '../types/sent-request.ts';
import type { Violation } from '../types/violation.ts';
import { findLosses } from './find-losses.ts';
import { findStarved } from './find-starved.ts';
import { streamText } from './stream-text.ts';

const OK = 200;
const FIRST_REDIRECT = 300;
/** Statuses that guarantee that the request did not run and never will. */
const NOT_RUN: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Statuses of requests that a configuration of the soak does not allow, or not so many of. */
const NOT_ALLOWED: ReadonlySet<number | undefined> = new Set([401, 404, 429]);
/** Number of characters shown on each side of a difference. */
const CONTEXT_CHARS = 40;
/** Maximum number of runs of a repeatable request. */
const MAX_ATTEMPTS = 2;

const CONTACT_MS = 3_000;
const DRAIN_MS = 2_000;
/** Crashes after which a prompt part, or a whole request, must be known. */
const PART_CRASHES = 5;
const REQUEST_CRASHES = 3;
const CRASHING_PATH_PREFIX = 'crash';
/** Runs with a crashing part that are allowed after the bound. */
const MAX_LATE_RUNS = 3;
const WINDOW_MS = 4_000;
const MAX_LIMIT_RATIO = 1.5;
const LIMIT_SLACK = 5;
/** Share of the others' served requests that nodes without links must serve, and failures that are allowed. */
const CUT_OFF_SHARE = 2 / 3;
const CUT_OFF_SLACK = 10;
const CUT_OFF_RATIO = 1 / 50;
/** Time from the order of an evacuation after which no request may reach its runners, in milliseconds. */
const EVACUATION_MS = 5_000;
/** Time for which requests may still arrive after a runner has asked for rest, in milliseconds. */
const REST_GRACE_MS = 500;
/** Requests of each node that may reach a resting runner later. */
const MAX_DISTURBING = 2;
/** Faults that stop nodes. */
const STOPPING = /^(node-stop|node-kill|node-pause|all-kill|roll-stop|upgrade)/;
/** Faults that stop nodes or take the store away, for which the bounds make an exception. */
const EXCUSING = new RegExp(`${STOPPING.source}|^store-`);
/** Maximum length of such a fault and the time until its nodes count again, in milliseconds. */
const EXCUSED_MS = 8_000;

/** A node has passed on a response in which a runner said that it is leaving. */
interface ToldLeaving {
  readonly node: string;
  readonly runner: string;
  readonly at: number;
}

/** Span in which nodes had lost their links to all runners. */
interface CutOff {
  readonly nodes: readonly string[];
  readonly from: number;
  readonly until: number;
}

/** Span in which the failure domain of these runners was to be evacuated. */
interface Evacuation {
  readonly runners: readonly string[];
  readonly from: number;
  readonly until: number;
}

interface Rest {
  readonly runner: string;
  readonly at: number;
  readonly forMs: number;
}

interface StatedLimit {
  readonly runner: string;
  readonly perSecond: number | undefined;
  readonly at: number;
}

function isRepeatable({ kind }: SentRequest): boolean {
  return kind === 'read' || kind === 'ask';
}

function isStream({ kind }: SentRequest): boolean {
  return kind === 'draft' || kind === 'ask';
}

/**
 * Records what callers sent and received and what runners executed, and checks it against the
 * promises.
 */
export class RequestTracker {
  readonly #sent = new Map<string, SentRequest>();
  readonly #runs = new Map<string, ObservedRun[]>();
  readonly #answers = new Map<string, ObservedAnswer>();
  readonly #violations: Violation[] = [];
  readonly #faults: FaultSpan[] = [];
  readonly #limits: StatedLimit[] = [];
  readonly #toldLeaving: ToldLeaving[] = [];
  readonly #left: { readonly runner: string; readonly at: number }[] = [];
  readonly #crashes = new Map<string, readonly number[]>();
  readonly #cutOffs: CutOff[] = [];
  readonly #evacuations: Evacuation[] = [];
  readonly #rests: Rest[] = [];
  readonly #disturbed: { readonly runner: string; readonly at: number }[] = [];
  readonly #nodeCount: number;

  readonly #isLogged: (request: SentRequest) => boolean;

  /** `isLogged` tells whether the log of its node has a line about a request. */
  constructor(nodeCount = 1, isLogged: (request: SentRequest) => boolean = () => true) {
    this.#nodeCount = nodeCount;
    this.#isLogged = isLogged;
  }

  recordRequest(request: SentRequest): void {
    this.#sent.set(request.id, request);
  }

  recordRun(run: ObservedRun): void {
    const request = this.#sent.get(run.id);
    if (!request) {
      this.recordViolation('unasked', `${run.runner} ran ${run.id}, which nobody sent`);
      return;
    }
    if (run.body !== undefined && run.body !== request.body) {
      this.recordViolation('unasked', `${run.runner} ran ${run.id} with another body`);
    }
    if (run.team !== request.team) {
      this.recordViolation('unasked', `${run.runner} ran ${run.id} for team ${String(run.team)}`);
    }
    this.#runs.set(run.id, [...(this.#runs.get(run.id) ?? []), run]);
  }

  recordAnswer(answer: ObservedAnswer): void {
    if (this.#answers.has(answer.id)) {
      this.recordViolation('own-answer', `${answer.id} was answered twice`);
    }
    this.#answers.set(answer.id, answer);
  }

  /** Records that a fault begins, at one node or runner or at all; returns what records its end. */
  recordFault(kind: FaultKind, node?: string, runner?: string): () => void {
    const fault = { kind, node, runner, at: performance.now(), until: Infinity };
    this.#faults.push(fault);
    return () => {
      fault.until = performance.now();
    };
  }

  /** Records that a runner states a limit of requests per second, or no longer does. */
  recordLimit(runner: string, perSecond: number | undefined): void {
    this.#limits.push({ runner, perSecond, at: performance.now() });
  }

  /** Records that a caller saw a response of a runner that is leaving, which a node had passed on. */
  recordToldLeaving(node: string, runner: string): void {
    this.#toldLeaving.push({ node, runner, at: performance.now() });
  }

  /** Records that a runner that was leaving has ended. */
  recordLeft(runner: string): void {
    this.#left.push({ runner, at: performance.now() });
  }

  /** Records that nodes had lost their links to all runners. */
  recordCutOff(cutOff: CutOff): void {
    this.#cutOffs.push(cutOff);
  }

  /** Records that the store had an order to evacuate the failure domain of some runners. */
  recordEvacuation(evacuation: Evacuation): void {
    this.#evacuations.push(evacuation);
  }

  /** Records that a runner asks for rest from now on. */
  recordRest(runner: string, forMs: number): void {
    this.#rests.push({ runner, at: performance.now(), forMs });
  }

  /** Records that a request reached a resting runner. */
  recordDisturbed(runner: string): void {
    this.#disturbed.push({ runner, at: performance.now() });
  }

  /** Records that a runner crashed under a prompt part or a request. */
  recordCrash(cause: string): void {
    this.#crashes.set(cause, [...(this.#crashes.get(cause) ?? []), performance.now()]);
  }

  /** Records a violation that another check found. */
  recordViolation(promise: string, message: string): void {
    this.#violations.push({ promise, message });
  }

  /** Number of requests sent from `fromMs` on, and how many of them succeeded. */
  servedSince(fromMs: number): { readonly total: number; readonly served: number } {
    const recordRequest = [...this.#sent.values()].filter(({ at }) => at >= fromMs);
    const served = recordRequest.filter(({ id }) => {
      const answer = this.#answers.get(id);
      return answer?.status === OK && answer.isWhole;
    });
    return { total: recordRequest.length, served: served.length };
  }

  /** Number of requests sent so far. */
  get requests(): number {
    return this.#sent.size;
  }

  /** The violations that were found so far. */
  get violations(): readonly Violation[] {
    return this.#violations;
  }

  /** Number of responses by HTTP status. */
  get statuses(): Readonly<Record<string, number>> {
    const counts: Record<string, number> = {};
    for (const { status } of this.#answers.values()) {
      const name = status === undefined ? 'none' : String(status);
      counts[name] = (counts[name] ?? 0) + 1;
    }
    return counts;
  }

  /** Returns all violations. Call it once, after the last request has ended. */
  check(): readonly Violation[] {
    for (const request of this.#sent.values()) {
      this.#checkRuns(request);
      this.#checkAnswer(request);
    }
    for (const [cause, crashes] of this.#crashes) this.#checkCrashes(cause, crashes);
    const observed = [...this.#sent.values()].map((request) => ({
      request,
      answer: this.#answers.get(request.id),
      hasRun: this.#runs.has(request.id),
      runners: (this.#runs.get(request.id) ?? []).map(({ runner }) => runner),
      isLogged: () => this.#isLogged(request),
    }));
    this.#violations.push(...findLosses(observed, this.#faults));
    this.#violations.push(...findStarved(observed, this.#faults));
    this.#checkLimits();
    this.#checkLeaving();
    for (const cutOff of this.#cutOffs) this.#checkCutOff(cutOff);
    for (const evacuation of this.#evacuations) this.#checkEvacuation(evacuation);
    for (const rest of this.#rests) this.#checkRest(rest);
    return this.#violations;
  }

  /** Requests that crashed runners several times must soon no longer reach any. */
  #checkCrashes(cause: string, crashes: readonly number[]): void {
    const [firstAt = 0] = crashes;
    const isWholeRequest = cause.startsWith(CRASHING_PATH_PREFIX);
    const knownAt = crashes[(isWholeRequest ? REQUEST_CRASHES : PART_CRASHES) - 1];
    if (knownAt === undefined) return;
    const late = [...this.#sent.values()]
      .filter(({ crashes }) => crashes === cause)
      .flatMap(({ id }) => this.#runs.get(id) ?? [])
      .filter(({ at }) => at > knownAt + CONTACT_MS);
    const lastAt = Math.max(0, ...late.map(({ at }) => at));
    if (late.length <= MAX_LATE_RUNS || this.#isExcused(firstAt, lastAt)) return;
    const promise = isWholeRequest ? 'crashing-request' : 'crashing-prompt';
    this.recordViolation(promise, `${late.length} late runs of ${cause}`);
  }

  /** A node that was told that a runner is leaving sends it nothing new until it has left. */
  #checkLeaving(): void {
    const runs = [...this.#runs.values()].flat();
    for (const { node, runner, at: toldAt } of this.#toldLeaving) {
      const leftAt = this.#left.find((left) => left.runner === runner && left.at > toldAt)?.at;
      const late = runs.find((run) => {
        const request = this.#sent.get(run.id);
        if (run.runner !== runner || request?.node !== node) return false;
        return request.at > toldAt + DRAIN_MS && run.at < (leftAt ?? 0);
      });
      if (!late || this.#isExcused(toldAt, late.at, STOPPING)) continue;
      this.recordViolation('leaving', `${late.id} ran at ${runner}, which had told ${node}`);
      return;
    }
  }

  /** Nodes without links to runners serve about as many requests as the others. */
  #checkCutOff({ nodes, from, until }: CutOff): void {
    const overlaps = this.#cutOffs.filter((other) => other.from < until && from < other.until);
    if (overlaps.length > 1 || this.#isExcused(from, until)) return;
    const sent = [...this.#sent.values()].filter(
      ({ id, at, crashes }) =>
        at > from + CONTACT_MS &&
        at < until &&
        crashes === undefined &&
        !NOT_ALLOWED.has(this.#answers.get(id)?.status),
    );
    const isServed = ({ id }: SentRequest): boolean => this.#answers.get(id)?.status === OK;
    const there = sent.filter(({ node }) => nodes.includes(node));
    const elsewhere = sent.filter(({ node }) => !nodes.includes(node));
    const servedThere = there.filter(isServed).length;
    const servedElsewhere = elsewhere.filter(isServed).length;
    const failed = there.length - servedThere;
    if (failed <= CUT_OFF_SLACK + sent.length * CUT_OFF_RATIO || elsewhere.length === 0) return;
    if (servedThere / there.length >= (servedElsewhere / elsewhere.length) * CUT_OFF_SHARE) return;
    this.recordViolation(
      'cut-off-nodes',
      `${servedThere} of ${there.length} served at ${nodes.join(', ')}, ${servedElsewhere} of ${elsewhere.length} elsewhere`,
    );
  }

  /** Nothing reaches an evacuated runner after the time in which the order takes effect. */
  #checkEvacuation({ runners, from, until }: Evacuation): void {
    const late = [...this.#runs.values()]
      .flat()
      .filter(
        ({ runner, at }) => runners.includes(runner) && at > from + EVACUATION_MS && at < until,
      );
    const [first] = late;
    if (!first || this.#isExcused(from, first.at, /^(store-|node-pause)/)) return;
    const afterMs = Math.round(first.at - from);
    this.recordViolation(
      'evacuation',
      `${late.length} late runs at ${runners.join(', ')}, ${first.id} after ${afterMs} ms`,
    );
  }

  /** Each node may have to be told once, and sends little more. */
  #checkRest({ runner, at, forMs }: Rest): void {
    if (this.#isExcused(at, at + forMs, STOPPING)) return;
    const disturbing = this.#disturbed.filter((arrival) => {
      return (
        arrival.runner === runner && arrival.at > at + REST_GRACE_MS && arrival.at < at + forMs
      );
    });
    if (disturbing.length <= (1 + MAX_DISTURBING) * this.#nodeCount) return;
    this.recordViolation('rest', `${disturbing.length} requests reached ${runner} in its rest`);
  }

  #checkLimits(): void {
    const runs = [...this.#runs.values()].flat();
    for (const [index, { runner, perSecond, at }] of this.#limits.entries()) {
      if (perSecond === undefined) continue;
      const end = this.#limits.slice(index + 1).find((limit) => limit.runner === runner)?.at;
      const times = runs
        .filter(
          (run) => run.runner === runner && run.at > at + CONTACT_MS && run.at < (end ?? Infinity),
        )
        .map((run) => run.at);
      for (const start of times) {
        const count = times.filter((time) => time >= start && time < start + WINDOW_MS).length;
        if (count <= MAX_LIMIT_RATIO * perSecond * (WINDOW_MS / 1_000) + LIMIT_SLACK) continue;
        if (this.#isExcused(at, start + WINDOW_MS)) continue;
        this.recordViolation('limit', `${count} runs in 4 s at ${runner}, limited to ${perSecond}`);
        return;
      }
    }
  }

  /** Whether nodes were stopped or lost the store in a span, or shortly before it. */
  #isExcused(fromMs: number, toMs: number, excusing = EXCUSING): boolean {
    return this.#faults.some(
      ({ kind, at }) => excusing.test(kind) && at > fromMs - EXCUSED_MS && at < toMs,
    );
  }

  #checkRuns(request: SentRequest): void {
    const runs = this.#runs.get(request.id) ?? [];
    const maxRuns = isRepeatable(request) ? MAX_ATTEMPTS : 1;
    if (runs.length > maxRuns) {
      const where = runs.map(({ runner }) => runner).join(', ');
      this.recordViolation('at-most-once', `${request.id} (${request.kind}) ran at ${where}`);
    }
    const status = this.#answers.get(request.id)?.status ?? 0;
    if (NOT_RUN.has(status) && runs.length > 0 && !isRepeatable(request)) {
      this.recordViolation('true-refusal', `${request.id} (${request.kind}) had ${status} and ran`);
    }
  }

  #checkAnswer(request: SentRequest): void {
    const answer = this.#answers.get(request.id);
    if (request.crashes === undefined && answer?.body.includes('prompt-quarantined')) {
      this.recordViolation('sound-prompt', `${request.id} was rejected for the prompt of others`);
    }
    if (request.crashes === undefined && answer?.body.includes('request-quarantined')) {
      this.recordViolation('sound-request', `${request.id} was rejected and is sound`);
    }
    if (!answer || !isSuccess(answer)) return;
    if (answer.status !== OK) {
      this.recordViolation('own-answer', `${request.id} had ${String(answer.status)} of no runner`);
      return;
    }
    const runs = this.#runs.get(request.id) ?? [];
    if (runs.length === 0) {
      this.recordViolation('own-answer', `${request.id} was answered and has not run`);
      return;
    }
    const answering = isRepeatable(request) ? runs : runs.slice(0, 1);
    if (!answering.some(({ runner }) => answer.signature === `${runner}.${request.id}`)) {
      this.recordViolation(
        'own-answer',
        `${request.id} has the signature ${String(answer.signature)}`,
      );
    }
    if (isStream(request)) this.#checkStream(request, answer);
    else if (answer.isWhole && answer.body !== `done ${request.id}`) {
      this.recordViolation(
        'own-answer',
        `${request.id} was answered with ${answer.body.slice(0, 60)}`,
      );
    }
  }

  /**
   * Checks that the events arrived in order from the first one on, and that a body whose framing is
   * complete has all of them.
   */
  #checkStream({ id, events }: SentRequest, { body, isWhole }: ObservedAnswer): void {
    const all = Array.from({ length: events }, (_item, index) => streamText(id, index + 1, events));
    const whole = all.join('');
    if (isWhole && body !== whole) {
      this.recordViolation(
        'stream-order',
        `${id} looks complete and is not: ${excerptAtDifference(whole, body)}`,
      );
    } else if (!whole.startsWith(body)) {
      this.recordViolation(
        'stream-order',
        `${id} has other events: ${excerptAtDifference(whole, body)}`,
      );
    }
  }
}

/** The soak's runners succeed with 200 only. */
function isSuccess({ status }: ObservedAnswer): boolean {
  return status !== undefined && status >= OK && status < FIRST_REDIRECT;
}

/** Returns the part of the body around its first difference from the expected one. */
function excerptAtDifference(expected: string, body: string): string {
  let at = 0;
  while (at < body.length && body[at] === expected[at]) at += 1;
  const from = Math.max(0, at - CONTEXT_CHARS);
  return JSON.stringify(body.slice(from, at + CONTEXT_CHARS));
}
