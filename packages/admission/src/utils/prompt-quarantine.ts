import type { Clock } from '@ragwortrudder/core';
import type { CrashHistory } from '../types/crash-history.ts';
import type { InterruptedRequest } from '../types/interrupted-request.ts';
import type { PromptEvidence } from '../types/prompt-evidence.ts';
import type { QuarantineChange } from '../types/quarantine-change.ts';
import type { QuarantinedPart } from '../types/quarantined-part.ts';
import type { ServedRequest } from '../types/served-request.ts';
import { EVIDENCE_LIMITS } from './evidence-limits.ts';
import { isRepeatKey } from './is-repeat-key.ts';
import { findCrashingParts } from './find-crashing-parts.ts';
import { RunnerBoots } from './runner-boots.ts';
import { selectInterruptions } from './select-interruptions.ts';

type Settled = Pick<CrashHistory, 'interrupted' | 'explained' | 'explainedByRequests'>;
type PromptRequest = Omit<InterruptedRequest, 'at'>;

interface InterruptedAttempt extends PromptRequest {
  /** When the request was sent to the runner; monotonic, in milliseconds. */
  readonly sentAt: number;
  /** When bytes last arrived from the runner. */
  readonly aliveAt: number;
}

interface EndedRequest extends Omit<PromptRequest, 'hasResponded'> {
  /** The end of the response was marked by its length or by chunks, not by its connection. */
  readonly isFramed: boolean;
}

interface PromptQuarantineOptions {
  readonly clock: Clock;
  /**
   * Rank of this node among those that may try a part again after its quarantine, the first of which
   * is 0; undefined when this node must not try.
   */
  readonly trialRank: (part: string) => number | undefined;
}

interface Quarantine {
  readonly at: number;
  /** When a request with the part may be tried again. */
  readonly until: number;
  readonly failedTrials: number;
  /** When this node last let a request with the part pass as a trial. */
  readonly triedAt: number;
}

interface PeerEvidence {
  readonly node: string;
  readonly receivedAt: number;
  readonly interrupted: readonly InterruptedRequest[];
  readonly servedAt: ReadonlyMap<string, number>;
  readonly servedCount: number;
  readonly quarantined: readonly string[];
}

interface EvidenceSource {
  /** Node, or failure domain, that the evidence comes from. */
  readonly node: string;
  /** Distinguishes its incarnations. */
  readonly incarnation: string;
}

/**
 * Time for which a response has to last, or its runner to live on after it, until the request counts
 * as served, in milliseconds.
 */
const PROOF_MS = 500;
/** Time between the end of a response and a crash that may follow from it, in milliseconds. */
const CRASH_WINDOW_MS = 250;
/** Age from which an interruption is taken into account, in milliseconds: peers have reported theirs. */
const SETTLE_MS = 400;
/** Time after a crash before which no connection can be to the next boot of the runner, in milliseconds. */
const MIN_DOWN_MS = 1_000;
/** How long evidence is kept, in milliseconds; rare requests must add up. */
const RETENTION_MS = 120_000;
/** Bound of the prompt parts, and of the whole requests, whose last response is remembered. */
const MAX_SERVED_KEYS = 4_096;
const MAX_SERVED = 256;
/** First quarantine of a part, in milliseconds; doubles with each failed trial. */
const QUARANTINE_MS = 60_000;
const MAX_QUARANTINE_MS = 600_000;
/**
 * Quarantine until the first trial of whole requests, and of parts that the evidence does not tell
 * apart, in milliseconds.
 */
const FIRST_QUARANTINE_MS = 2_000;
/** Time between the first trials of those that are quarantined together, in milliseconds. */
const TRIAL_GAP_MS = 1_500;
/**
 * Time after which nodes other than the first may try a whole request again, in milliseconds: its caller
 * may never reach the first one.
 */
const NEXT_TRIAL_MS = 5_000;
/** Additional time for each rank, in milliseconds: nodes hear of a failed trial before they try. */
const TRIAL_RANK_MS = 1_000;
/** Time after which a trial without a result is repeated, in milliseconds. */
const TRIAL_TIMEOUT_MS = 10_000;
/** Interval between two searches for parts that crash runners while the interruptions stay the same, in milliseconds. */
const SEARCH_PERIOD_MS = 1_000;
/** Difference between the times of one interruption in two reports, which tell its age, in milliseconds. */
const AGE_ERROR_MS = 50;
/** Time without a trial after which a quarantine is forgotten, in milliseconds. */
const FORGET_MS = 600_000;

/**
 * Prompt parts, and whole requests by their keys, that crash runners. Nodes share what they saw of
 * interrupted and served requests; a part that a node quarantines is quarantined at all of them.
 * Afterwards one node lets one request pass at a time: if it is served, the quarantine ends everywhere.
 */
export class PromptQuarantine {
  readonly #options: PromptQuarantineOptions;
  readonly #quarantines = new Map<string, Quarantine>();
  readonly #servedAt = new Map<string, number>();
  /** The same for whole requests, most of which never come again. */
  readonly #requestServedAt = new Map<string, number>();
  readonly #boots = new RunnerBoots();
  readonly #peers = new Map<string, PeerEvidence>();
  #interrupted: readonly InterruptedRequest[] = [];
  #ended: readonly InterruptedRequest[] = [];
  #served: readonly ServedRequest[] = [];
  #changes: QuarantineChange[] = [];
  /** The evidence of the last search. */
  #searched:
    | {
        readonly at: number;
        readonly interrupted: number;
        readonly explained: number;
        readonly newestAt: number;
      }
    | undefined;

  constructor(options: PromptQuarantineOptions) {
    this.#options = options;
  }

  /** Finds a part for which a request must not be sent to a runner; claims the trial if there is one. */
  find(parts: readonly string[]): QuarantinedPart | undefined {
    if (this.#quarantines.size === 0) return undefined;
    const now = this.#options.clock.monotonic();
    for (const part of parts) {
      const quarantine = this.#quarantines.get(part);
      if (!quarantine || this.#mayTry(part, quarantine, now)) continue;
      const remainingMs = Math.max(TRIAL_TIMEOUT_MS, quarantine.until - now);
      return { part, remainingMs, ageMs: now - quarantine.at };
    }
    for (const part of parts) {
      const quarantine = this.#quarantines.get(part);
      if (!quarantine) continue;
      this.#quarantines.set(part, { ...quarantine, triedAt: now });
      this.#changes.push({ part, kind: 'tried' });
    }
    return undefined;
  }

  /** Whether a request that was admitted must not be sent, or sent again, to a runner. */
  isHeld(parts: readonly string[]): boolean {
    return parts.some((part) => {
      const quarantine = this.#quarantines.get(part);
      return quarantine !== undefined && quarantine.triedAt <= quarantine.at;
    });
  }

  /**
   * Records that a runner closed the connection before a response had lasted for `PROOF_MS`. A request
   * that was sent after its runner had ended tells nothing, unless the runner may have started again.
   */
  recordInterrupted({ sentAt, aliveAt, ...request }: InterruptedAttempt): void {
    if (request.parts.length === 0) return;
    const hadEnded = this.#allInterrupted().some(({ runner, at }) => {
      const isSame = runner === request.runner && at > aliveAt;
      return isSame && at < sentAt && sentAt - at < MIN_DOWN_MS;
    });
    const at = this.#options.clock.monotonic();
    if (hadEnded) {
      this.#boots.recordEnded(request.runner, at);
      return;
    }
    const parts = request.parts.slice(0, EVIDENCE_LIMITS.parts);
    this.#addInterrupted({ ...request, parts, at });
    for (const part of parts) {
      const quarantine = this.#quarantines.get(part);
      if (!quarantine || quarantine.triedAt <= quarantine.at) continue;
      this.#quarantine(part, quarantine.failedTrials + 1);
    }
  }

  /**
   * Records a complete response. It proves its prompt parts only if its runner lives on: a crash may
   * come right after it, or look like the end of a response without framing. A whole request is proved
   * by the end of the framing.
   */
  recordEnded({ isFramed, ...request }: EndedRequest): void {
    const at = this.#options.clock.monotonic();
    const proved = isFramed ? request.parts.filter(isRepeatKey) : [];
    if (proved.length > 0) this.#addServed(proved, at);
    const parts = request.parts.filter((part) => !proved.includes(part));
    if (parts.length === 0) return;
    this.#ended = [...this.#ended, { ...request, parts, hasResponded: true, at }];
  }

  /**
   * Sets aside what this node has seen of requests that were interrupted at a runner since a monotonic
   * time, unless the runner turns out to have started again.
   */
  retract(runner: string, since: number): void {
    this.#boots.recordOwnFault(runner, since);
    this.#ended = this.#ended.filter((request) => request.runner !== runner || request.at < since);
  }

  /** Sets the runners, by incarnation, that are in the list. */
  setListed(runners: ReadonlySet<string>): void {
    this.#boots.setListed(runners, this.#options.clock.monotonic());
  }

  /**
   * Records that a runner has begun to respond to a request: what was interrupted there before the
   * request was sent did not end the runner.
   */
  recordAlive(runner: string, sentAt: number): void {
    this.#boots.recordAlive(runner, sentAt);
  }

  /** Records that a runner no longer accepts connections. */
  recordUnreachable(runner: string): void {
    const at = this.#options.clock.monotonic();
    this.#boots.recordEnded(runner, at);
    const ended = this.#ended.filter((request) => request.runner === runner);
    if (ended.length === 0) return;
    this.#ended = this.#ended.filter((request) => request.runner !== runner);
    for (const request of ended) {
      if (at - request.at < CRASH_WINDOW_MS) this.#addInterrupted(request);
    }
  }

  /** Records a response that goes on `PROOF_MS` after it began. */
  recordServed(parts: readonly string[]): void {
    this.#addServed(parts, this.#options.clock.monotonic());
  }

  /** Time for which a response has to go on until `recordServed` applies, in milliseconds. */
  static get proofMs(): number {
    return PROOF_MS;
  }

  /** Decides on the evidence; returns what has changed since the last call. */
  update(): readonly QuarantineChange[] {
    const now = this.#options.clock.monotonic();
    this.#settleEnded(now);
    this.#prune(now);
    this.#release();
    const settled = this.#settledEvidence(now);
    if (this.#mustSearch(settled, now)) {
      const found = findCrashingParts({
        ...settled,
        servedAt: (part) => this.#lastServedAt(part),
        served: this.#served,
        servedCount: this.#servedCountOver([...this.#peers.values()]),
      });
      for (const [index, { part, isAmbiguous }] of found.entries()) {
        const isSoonTried = isAmbiguous || isRepeatKey(part);
        this.#quarantine(part, isSoonTried ? 0 : 1, index * TRIAL_GAP_MS);
      }
    }
    const changes = this.#changes;
    this.#changes = [];
    return changes;
  }

  /** The interruptions have changed, or requests that were served since may tell them apart. */
  #mustSearch({ interrupted, explained }: Settled, now: number): boolean {
    if (interrupted.length + explained.length === 0) return false;
    const newestAt = interrupted.reduce((newest, { at }) => Math.max(newest, at), -Infinity);
    const searched = this.#searched;
    if (
      searched?.interrupted === interrupted.length &&
      searched.explained === explained.length &&
      Math.abs(searched.newestAt - newestAt) < AGE_ERROR_MS &&
      now - searched.at < SEARCH_PERIOD_MS
    ) {
      return false;
    }
    this.#searched = {
      at: now,
      interrupted: interrupted.length,
      explained: explained.length,
      newestAt,
    };
    return true;
  }

  /** Evidence of this node, and all quarantines that it knows; undefined when there is none. */
  get evidence(): PromptEvidence | undefined {
    return this.#encode(this.#interrupted, [], this.#served.length);
  }

  /** Evidence of this node and of the given peers, for nodes that do not hear these. */
  evidenceOver(nodes: ReadonlySet<string>): PromptEvidence | undefined {
    const members = [...this.#peers.values()].filter(({ node }) => nodes.has(node));
    return this.#encode(
      [...this.#interrupted, ...members.flatMap(({ interrupted }) => interrupted)],
      members,
      this.#servedCountOver(members),
    );
  }

  /**
   * Replaces the evidence of a peer, or of a failure domain, and adopts its quarantines. Without evidence
   * all that the peer has seen is out of date, for example because the requests were served since.
   */
  setPeerEvidence(
    { node, incarnation }: EvidenceSource,
    evidence: PromptEvidence | undefined,
  ): void {
    const name = `${node} ${incarnation}`;
    if (!evidence) {
      this.#peers.delete(name);
      return;
    }
    const now = this.#options.clock.monotonic();
    this.#peers.set(name, {
      node,
      receivedAt: now,
      servedCount: evidence.servedCount,
      quarantined: evidence.quarantined.map(({ part }) => part),
      interrupted: evidence.interrupted.map(({ ageMs, ...request }) => {
        return { ...request, at: now - ageMs };
      }),
      servedAt: new Map(
        Object.entries(evidence.served).map(([part, ageMs]) => [part, now - ageMs]),
      ),
    });
    for (const { part, ageMs, remainingMs, failedTrials } of evidence.quarantined) {
      const known = this.#quarantines.get(part);
      const at = now - ageMs;
      if (known && known.failedTrials >= failedTrials) continue;
      if (this.#lastServedAt(part) >= at || remainingMs < -FORGET_MS) continue;
      const until = now + Math.min(remainingMs, MAX_QUARANTINE_MS);
      this.#quarantines.set(part, { at, until, failedTrials, triedAt: -Infinity });
      this.#changes.push({ part, kind: 'adopted', failedTrials, forMs: Math.round(remainingMs) });
    }
  }

  #mayTry(part: string, { until, triedAt }: Quarantine, now: number): boolean {
    if (now < until || now - triedAt < TRIAL_TIMEOUT_MS) return false;
    const rank = this.#options.trialRank(part);
    if (rank === undefined) return false;
    if (rank === 0) return true;
    return isRepeatKey(part) && now >= until + NEXT_TRIAL_MS + rank * TRIAL_RANK_MS;
  }

  #quarantine(part: string, failedTrials: number, delayMs = 0): void {
    if (this.#quarantines.size >= EVIDENCE_LIMITS.quarantined && !this.#quarantines.has(part))
      return;
    const at = this.#options.clock.monotonic();
    const forMs =
      failedTrials === 0
        ? FIRST_QUARANTINE_MS + delayMs
        : Math.min(MAX_QUARANTINE_MS, QUARANTINE_MS * 2 ** (failedTrials - 1));
    this.#quarantines.set(part, { at, until: at + forMs, failedTrials, triedAt: -Infinity });
    this.#changes.push({ part, kind: 'quarantined', failedTrials, forMs });
  }

  /** Ends the quarantine of parts that have been served since it began. */
  #release(): void {
    for (const [part, { at }] of this.#quarantines) {
      if (this.#lastServedAt(part) < at) continue;
      this.#quarantines.delete(part);
      this.#changes.push({ part, kind: 'released' });
    }
  }

  #addInterrupted(request: InterruptedRequest): void {
    this.#interrupted = [...this.#interrupted, request].slice(-EVIDENCE_LIMITS.keptInterrupted);
  }

  #addServed(parts: readonly string[], at: number): void {
    const promptParts = parts.filter((part) => !isRepeatKey(part));
    if (promptParts.length > 0) {
      this.#served = [...this.#served, { parts: promptParts, at }].slice(-MAX_SERVED);
    }
    for (const part of parts) {
      setNewest(isRepeatKey(part) ? this.#requestServedAt : this.#servedAt, part, at);
    }
  }

  /** Responses that ended a while ago were served, unless their runner ended at the same time. */
  #settleEnded(now: number): void {
    const settled = this.#ended.filter(({ at }) => now - at >= PROOF_MS);
    if (settled.length === 0) return;
    this.#ended = this.#ended.filter(({ at }) => now - at < PROOF_MS);
    const interrupted = this.#allInterrupted();
    for (const request of settled) {
      const crashedAt = interrupted
        .filter(({ runner }) => runner === request.runner)
        .map(({ at }) => Math.abs(at - request.at));
      const distanceMs = Math.min(...crashedAt);
      if (distanceMs >= PROOF_MS) this.#addServed(request.parts, request.at);
      else if (distanceMs < CRASH_WINDOW_MS) this.#addInterrupted(request);
    }
  }

  #prune(now: number): void {
    const isKept = (request: InterruptedRequest): boolean =>
      now - request.at < RETENTION_MS &&
      request.parts.some((part) => this.#lastServedAt(part) < request.at);
    this.#interrupted = this.#interrupted.filter(isKept);
    this.#boots.prune(now - RETENTION_MS);
    for (const [name, { receivedAt }] of this.#peers) {
      if (now - receivedAt >= RETENTION_MS) this.#peers.delete(name);
    }
    for (const [part, { until }] of this.#quarantines) {
      if (now - until >= FORGET_MS) this.#quarantines.delete(part);
    }
  }

  #allInterrupted(): readonly InterruptedRequest[] {
    return [
      ...this.#interrupted,
      ...[...this.#peers.values()].flatMap(({ interrupted }) => interrupted),
    ].filter((request) => this.#boots.mayHaveEnded(request));
  }

  /** Settled evidence, divided by whether a quarantined part or request explains the crash. */
  #settledEvidence(now: number): Settled {
    const all = this.#allInterrupted();
    const isCause = (request: InterruptedRequest, isIncluded: (part: string) => boolean): boolean =>
      request.parts.some((part) => this.#quarantines.has(part) && isIncluded(part));
    const runnersWith = (isIncluded: (part: string) => boolean): ReadonlySet<string> =>
      new Set(all.filter((item) => isCause(item, isIncluded)).map(({ runner }) => runner));
    const byParts = runnersWith((part) => !isRepeatKey(part));
    const byRequests = runnersWith(isRepeatKey);
    const isExplained = ({ runner }: InterruptedRequest): boolean =>
      byParts.has(runner) || byRequests.has(runner);
    const settled = all.filter(({ at }) => now - at >= SETTLE_MS && now - at < RETENTION_MS);
    return {
      interrupted: settled.filter((item) => !isExplained(item)),
      explained: settled.filter((item) => isExplained(item) && !isCause(item, () => true)),
      explainedByRequests: settled.filter(
        ({ runner }) => byRequests.has(runner) && !byParts.has(runner),
      ),
    };
  }

  #servedCountOver(peers: readonly PeerEvidence[]): number {
    return peers.reduce((sum, { servedCount }) => sum + servedCount, this.#served.length);
  }

  /** When a part was last served by any node; by default by all that are known. */
  #lastServedAt(part: string, peers: Iterable<PeerEvidence> = this.#peers.values()): number {
    const own = isRepeatKey(part) ? this.#requestServedAt : this.#servedAt;
    let last = own.get(part) ?? -Infinity;
    for (const { servedAt } of peers) last = Math.max(last, servedAt.get(part) ?? -Infinity);
    return last;
  }

  #encode(
    interrupted: readonly InterruptedRequest[],
    peers: readonly PeerEvidence[],
    servedCount: number,
  ): PromptEvidence | undefined {
    const now = this.#options.clock.monotonic();
    const questioned = new Set(this.#quarantines.keys());
    const known = this.#allInterrupted();
    for (const { parts } of known) for (const part of parts) questioned.add(part);
    for (const { quarantined } of this.#peers.values()) {
      for (const part of quarantined) questioned.add(part);
    }
    if (questioned.size === 0) return undefined;
    return {
      interrupted: selectInterruptions({
        candidates: interrupted.filter((request) => this.#boots.mayHaveEnded(request)),
        known,
        servedAt: (part) => this.#lastServedAt(part),
        limit: EVIDENCE_LIMITS.interrupted,
      }).map(({ at, ...request }) => ({ ...request, ageMs: Math.round(now - at) })),
      served: Object.fromEntries(
        [...questioned].flatMap((part) => {
          const at = this.#lastServedAt(part, peers);
          return at === -Infinity ? [] : [[part, Math.round(now - at)]];
        }),
      ),
      servedCount,
      quarantined: [...this.#quarantines].map(([part, { at, until, failedTrials }]) => {
        return {
          part,
          ageMs: Math.round(now - at),
          remainingMs: Math.round(until - now),
          failedTrials,
        };
      }),
    };
  }
}

/** Sets when a key was last served; keys that were not served for the longest time are dropped. */
function setNewest(servedAt: Map<string, number>, key: string, at: number): void {
  servedAt.delete(key);
  servedAt.set(key, at);
  for (const oldest of servedAt.keys()) {
    if (servedAt.size <= MAX_SERVED_KEYS) return;
    servedAt.delete(oldest);
  }
}
