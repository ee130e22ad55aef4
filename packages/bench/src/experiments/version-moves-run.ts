import { setTimeout as sleep } from 'node:timers/promises';
import { SeededRandom } from '@ragwortrudder/core';
import { Fleet } from '@ragwortrudder/standins';
import type { FleetOptions } from '@ragwortrudder/standins';
import { replay } from '../node/replay.ts';
import type { AnswerTiming } from '../types/answer-timing.ts';
import type { PlannedRequest } from '../types/planned-request.ts';
import type { ResultRow } from '../types/result-row.ts';
import type { VersionCase } from '../types/version-case.ts';
import { simulateBaseline } from './version-moves-baseline.ts';
import { planVersionCase } from './version-moves-plan.ts';

interface RunOptions {
  readonly cases: readonly VersionCase[];
  readonly seed: number;
  /** What happens in the middle of the moves. */
  readonly disturbance?: 'log outage' | 'cut';
}

interface Word {
  readonly word: 'done' | 'undone';
  readonly reason: string;
  /** Wall-clock time at which the word was read. */
  readonly at: number;
  /** Requests that had reached the new version, and those that had failed there. */
  readonly reached: number;
  readonly failed: number;
}

const WARM_UP_MS = 4000;
const AFTER_MS = 3500;
const DIRECTORY_LAG_MS = 2500;
const POLL_MS = 250;
const STOP_MS = 3000;
const PATIENCE_MS = 20_000;
const MAX_CONCURRENT = 1000;
const MEMBERSHIP = { probePeriodMs: 300, probeTimeoutMs: 200, suspicionMs: 1200 };
const READS = { loadPeriodMs: 1000, cachePeriodMs: 5000 };
const ENGINE = { stepMs: 16, tokenBudget: 128, prefillTokenMs: 0.1 };
const APPLICATION = { workMs: 20 };
const TENANT = { tenant: 'novak', key: 'novak-bench-key-0123456789' };
const DISTURBED_FROM = 0.35;
const DISTURBED_UNTIL = 0.65;

/** Runs moves side by side on one fleet, each on a service of its own. */
export class VersionMovesRun {
  readonly #options: RunOptions;
  readonly #fleet: Fleet;
  readonly #words = new Map<string, Word>();
  readonly #late = new Map<string, number>();
  #startedAt = 0;

  constructor(options: RunOptions) {
    this.#options = options;
    this.#fleet = new Fleet(this.#fleetOptions());
  }

  /** Starts everything, makes the moves, and resolves with a row for each. */
  async run(): Promise<readonly ResultRow[]> {
    const { cases, seed } = this.#options;
    const longestMs = Math.max(...cases.map(({ deadlineMs }) => deadlineMs));
    const plans = cases.map((versionCase, index) =>
      planVersionCase({
        ...{ versionCase, seed: seed * 100 + index, tenant: TENANT.tenant },
        durationMs: WARM_UP_MS + versionCase.deadlineMs + AFTER_MS,
      }),
    );
    try {
      await this.#start();
      const answers = this.#replay(plans.flat());
      await sleep(WARM_UP_MS);
      await this.#startMoves();
      await Promise.all([this.#watch(longestMs + AFTER_MS), this.#disturb(longestMs)]);
      const all = await answers;
      return await Promise.all(
        cases.map((one, index) => this.#rowOf(one, plans[index] ?? [], all)),
      );
    } finally {
      await this.#fleet.close();
    }
  }

  #fleetOptions(): FleetOptions {
    const { cases, seed, disturbance } = this.#options;
    const count = disturbance === undefined ? 2 : 3;
    return {
      seed,
      tenants: [TENANT],
      settings: { membership: MEMBERSHIP, runners: READS },
      relays: disturbance === 'cut',
      runners: cases.flatMap(({ service, kind: { kind } }) =>
        ['v1', 'v2'].map((version) => {
          const options = kind === 'model' ? ENGINE : APPLICATION;
          return { service, version, kind, count, options };
        }),
      ),
    };
  }

  async #start(): Promise<void> {
    const { cases } = this.#options;
    await this.#fleet.start();
    for (const { service, kind, traffic } of cases)
      for (const runner of this.#newRunners(service))
        if (kind.kind === 'model') await this.#fleet.engineFault(runner, kind.fault(traffic));
        else await this.#fleet.applicationFault(runner, kind.fault(traffic));
    const tenants = {
      [TENANT.tenant]: { weight: 1, maxConcurrent: MAX_CONCURRENT, maxQueued: MAX_CONCURRENT },
    };
    await this.#submit(1, { services: this.#services('v1'), tenants });
    await sleep(DIRECTORY_LAG_MS);
  }

  async #startMoves(): Promise<void> {
    this.#startedAt = Date.now();
    await this.#submit(2, { services: this.#services('v2') });
  }

  #services(version: 'v1' | 'v2'): Readonly<Record<string, unknown>> {
    return Object.fromEntries(
      this.#options.cases.map(({ service, kind, deadlineMs }) => [
        service,
        {
          ...{ kind: kind.kind, version, fencing: true, idempotent: true },
          classes: ['interactive', 'batch'],
          ...(version === 'v2' && { previous: 'v1', takeoverBy: this.#startedAt + deadlineMs }),
        },
      ]),
    );
  }

  async #submit(number: number, content: Readonly<Record<string, unknown>>): Promise<void> {
    const { status } = await this.#fleet.submitTicket({ number, against: number - 1, ...content });
    if (status !== 201) process.stderr.write(`ticket ${number}: status ${status}\n`);
  }

  #replay(planned: readonly PlannedRequest[]): Promise<readonly AnswerTiming[]> {
    return replay({
      planned: [...planned].sort((a, b) => a.atMs - b.atMs),
      nodes: this.#fleet.entries.map(({ address }) => address),
      keys: new Map([[TENANT.tenant, TENANT.key]]),
      seed: this.#options.seed,
      patienceMs: PATIENCE_MS,
    });
  }

  /** Reads the words of the moves, and what the new versions had got by then and some time later. */
  async #watch(durationMs: number): Promise<void> {
    const endsAt = Date.now() + durationMs;
    while (Date.now() < endsAt) {
      await sleep(POLL_MS);
      for (const { service, word, reason } of await this.#loggedWords()) {
        if (this.#words.has(service)) continue;
        const at = Date.now();
        this.#words.set(service, { word, reason, at, ...(await this.#countsOf(service)) });
      }
      for (const [service, { at }] of this.#words)
        if (!this.#late.has(service) && Date.now() - at >= STOP_MS)
          this.#late.set(service, (await this.#countsOf(service)).reached);
    }
  }

  async #loggedWords(): Promise<readonly MoveWordBody[]> {
    const records = await this.#fleet.log('tickets').catch(() => []);
    return records
      .flatMap(({ body }) => (body as { readonly entries: readonly LogEntry[] }).entries)
      .map(({ body }) => body)
      .filter(({ kind }) => kind === 'move-word');
  }

  async #disturb(longestMs: number): Promise<void> {
    const { disturbance } = this.#options;
    if (disturbance === undefined) return;
    await sleep(longestMs * DISTURBED_FROM);
    await this.#setDisturbed(true);
    await sleep(longestMs * (DISTURBED_UNTIL - DISTURBED_FROM));
    await this.#setDisturbed(false);
  }

  async #setDisturbed(isDisturbed: boolean): Promise<void> {
    if (this.#options.disturbance === 'cut') {
      await this.#fleet.cutFailureDomain('c', isDisturbed ? 'cut' : 'open');
      return;
    }
    const mode = isDisturbed ? 'down' : 'ok';
    await this.#fleet.platformFault({ target: 'log.append', mode });
    await this.#fleet.platformFault({ target: 'log.read', mode });
  }

  #newRunners(service: string): readonly string[] {
    return this.#fleet.runners
      .filter((runner) => runner.service === service && runner.version === 'v2')
      .map(({ id }) => id);
  }

  /** Requests that reached the new version of a service; failures are known of engines only. */
  async #countsOf(service: string): Promise<Pick<Word, 'reached' | 'failed'>> {
    const ids = new Set(this.#newRunners(service));
    const engines = (await this.#fleet.engineStats()).filter(({ runner }) => ids.has(runner));
    const runs = (await this.#fleet.operationRuns()).filter(({ runner }) => ids.has(runner));
    const reached = engines.reduce((sum, { requests }) => sum + requests, runs.length);
    return { reached, failed: engines.reduce((sum, one) => sum + one.failed, 0) };
  }

  async #rowOf(
    versionCase: VersionCase,
    plan: readonly PlannedRequest[],
    all: readonly AnswerTiming[],
  ): Promise<ResultRow> {
    const { kind, traffic, deadline, service, deadlineMs } = versionCase;
    const word = this.#words.get(service);
    const answers = all.filter(({ request }) => request.service === service);
    const end = await this.#countsOf(service);
    const wordMs = (word?.at ?? Number.NaN) - this.#startedAt;
    const moved = plan
      .map((request) => ({ ...request, atMs: request.atMs - WARM_UP_MS }))
      .filter(({ atMs }) => atMs >= 0);
    const untilWord = moved.filter(({ atMs }) => atMs <= wordMs).length;
    const random = new SeededRandom(this.#options.seed);
    const common = { versionCase, planned: moved, random };
    const atOnce = simulateBaseline({ ...common, canaryShare: 1, judgedAtMs: 0 });
    const canary = simulateBaseline({ ...common, canaryShare: 0.1, judgedAtMs: deadlineMs / 2 });
    const disturbance = this.#options.disturbance ?? 'none';
    process.stderr.write(
      `${kind.name}, ${traffic}, ${deadline}, ${disturbance}: ${word?.word ?? 'no word'}: ${word?.reason ?? ''}\n`,
    );
    return {
      policy: `${kind.name}; ${traffic}, ${deadline}${disturbance === 'none' ? '' : `; ${disturbance}`}`,
      values: {
        requests: moved.length,
        done: word?.word === 'done' ? 1 : 0,
        undone: word?.word === 'undone' ? 1 : 0,
        wordMs,
        wordPart: wordMs / deadlineMs,
        reached: word?.reached ?? end.reached,
        failed: word?.failed ?? end.failed,
        share: (word?.reached ?? end.reached) / untilWord,
        after: word?.word === 'undone' ? end.reached - (this.#late.get(service) ?? end.reached) : 0,
        lost: answers.filter(({ outcome }) => outcome !== 'done').length,
        atOnceReached: atOnce.reached,
        atOnceFailed: atOnce.failed,
        canaryKept: canary.isKept ? 1 : 0,
        canaryReached: canary.reached,
        canaryFailed: canary.failed,
      },
    };
  }
}

interface MoveWordBody {
  readonly kind: string;
  readonly service: string;
  readonly word: 'done' | 'undone';
  readonly reason: string;
}

interface LogEntry {
  readonly body: MoveWordBody;
}
