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
  /** Fault injected in the middle of the rollouts. */
  readonly disturbance?: 'log outage' | 'cut';
}

interface ObservedVerdict {
  readonly word: 'done' | 'undone';
  readonly reason: string;
  /** Wall-clock time at which the verdict was read. */
  readonly at: number;
  /** Requests that had reached the new version by then, and those of them that had failed. */
  readonly reached: number;
  readonly failed: number;
}

const WARM_UP_MS = 4000;
const COOL_DOWN_MS = 3500;
const DIRECTORY_LAG_MS = 2500;
const POLL_MS = 250;
const STOP_GRACE_MS = 3000;
const RETRY_WINDOW_MS = 20_000;
const MAX_CONCURRENT = 1000;
const MEMBERSHIP = { probePeriodMs: 300, probeTimeoutMs: 200, suspicionMs: 1200 };
const RUNNER_SETTINGS = { loadPeriodMs: 1000, cachePeriodMs: 5000 };
const ENGINE = { stepMs: 16, tokenBudget: 128, prefillTokenMs: 0.1 };
const APPLICATION = { workMs: 20 };
const TENANT = { tenant: 'novak', key: 'novak-bench-key-0123456789' };
const DISTURBED_FROM = 0.35;
const DISTURBED_UNTIL = 0.65;

/** Runs several rollouts concurrently on one fleet, each for its own service. */
export class VersionMovesRun {
  readonly #options: RunOptions;
  readonly #fleet: Fleet;
  readonly #verdicts = new Map<string, ObservedVerdict>();
  readonly #reachedAfterStop = new Map<string, number>();
  #startedAt = 0;

  constructor(options: RunOptions) {
    this.#options = options;
    this.#fleet = new Fleet(this.#fleetOptions());
  }

  /** Starts the fleet, runs the rollouts and resolves with a result row for each. */
  async run(): Promise<readonly ResultRow[]> {
    const { cases, seed } = this.#options;
    const longestMs = Math.max(...cases.map(({ deadlineMs }) => deadlineMs));
    const plans = cases.map((versionCase, index) =>
      planVersionCase({
        ...{ versionCase, seed: seed * 100 + index, tenant: TENANT.tenant },
        durationMs: WARM_UP_MS + versionCase.deadlineMs + COOL_DOWN_MS,
      }),
    );
    try {
      await this.#start();
      const answers = this.#replay(plans.flat());
      await sleep(WARM_UP_MS);
      await this.#startRollouts();
      await Promise.all([
        this.#collectVerdicts(longestMs + COOL_DOWN_MS),
        this.#disturb(longestMs),
      ]);
      const allAnswers = await answers;
      return await Promise.all(
        cases.map((one, index) => this.#rowOf(one, plans[index] ?? [], allAnswers)),
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
      settings: { membership: MEMBERSHIP, runners: RUNNER_SETTINGS },
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
      for (const runner of this.#newVersionRunners(service))
        if (kind.kind === 'model') await this.#fleet.engineFault(runner, kind.fault(traffic));
        else await this.#fleet.applicationFault(runner, kind.fault(traffic));
    const tenants = {
      [TENANT.tenant]: { weight: 1, maxConcurrent: MAX_CONCURRENT, maxQueued: MAX_CONCURRENT },
    };
    await this.#submit(1, { services: this.#services('v1'), tenants });
    await sleep(DIRECTORY_LAG_MS);
  }

  async #startRollouts(): Promise<void> {
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
    if (status !== 201)
      process.stderr.write(
        `ticket ${number} was not accepted: expected status 201, got ${status}\n`,
      );
  }

  #replay(planned: readonly PlannedRequest[]): Promise<readonly AnswerTiming[]> {
    return replay({
      planned: [...planned].sort((a, b) => a.atMs - b.atMs),
      nodes: this.#fleet.entries.map(({ address }) => address),
      keys: new Map([[TENANT.tenant, TENANT.key]]),
      seed: this.#options.seed,
      patienceMs: RETRY_WINDOW_MS,
    });
  }

  /**
   * Polls for verdicts; counts the requests to each new version at its verdict and after a grace
   * period.
   */
  async #collectVerdicts(durationMs: number): Promise<void> {
    const endsAt = Date.now() + durationMs;
    while (Date.now() < endsAt) {
      await sleep(POLL_MS);
      for (const { service, word, reason } of await this.#loggedVerdicts()) {
        if (this.#verdicts.has(service)) continue;
        const at = Date.now();
        this.#verdicts.set(service, { word, reason, at, ...(await this.#countsOf(service)) });
      }
      for (const [service, { at }] of this.#verdicts)
        if (!this.#reachedAfterStop.has(service) && Date.now() - at >= STOP_GRACE_MS)
          this.#reachedAfterStop.set(service, (await this.#countsOf(service)).reached);
    }
  }

  async #loggedVerdicts(): Promise<readonly VerdictBody[]> {
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

  #newVersionRunners(service: string): readonly string[] {
    return this.#fleet.runners
      .filter((runner) => runner.service === service && runner.version === 'v2')
      .map(({ id }) => id);
  }

  /** Counts the requests that reached the new version of a service; only engines count failures. */
  async #countsOf(service: string): Promise<Pick<ObservedVerdict, 'reached' | 'failed'>> {
    const ids = new Set(this.#newVersionRunners(service));
    const engines = (await this.#fleet.engineStats()).filter(({ runner }) => ids.has(runner));
    const runs = (await this.#fleet.operationRuns()).filter(({ runner }) => ids.has(runner));
    const reached = engines.reduce((sum, { requests }) => sum + requests, runs.length);
    return { reached, failed: engines.reduce((sum, one) => sum + one.failed, 0) };
  }

  async #rowOf(
    versionCase: VersionCase,
    plan: readonly PlannedRequest[],
    allAnswers: readonly AnswerTiming[],
  ): Promise<ResultRow> {
    const { kind, traffic, deadline, service, deadlineMs } = versionCase;
    const verdict = this.#verdicts.get(service);
    const answers = allAnswers.filter(({ request }) => request.service === service);
    const end = await this.#countsOf(service);
    const wordMs = (verdict?.at ?? Number.NaN) - this.#startedAt;
    const duringRollout = plan
      .map((request) => ({ ...request, atMs: request.atMs - WARM_UP_MS }))
      .filter(({ atMs }) => atMs >= 0);
    const requestsUntilVerdict = duringRollout.filter(({ atMs }) => atMs <= wordMs).length;
    const random = new SeededRandom(this.#options.seed);
    const common = { versionCase, planned: duringRollout, random };
    const atOnce = simulateBaseline({ ...common, canaryShare: 1, judgedAtMs: 0 });
    const canary = simulateBaseline({ ...common, canaryShare: 0.1, judgedAtMs: deadlineMs / 2 });
    const disturbance = this.#options.disturbance ?? 'none';
    process.stderr.write(
      `${kind.name}, ${traffic}, ${deadline}, ${disturbance}: ${verdict?.word ?? 'no verdict'}: ${verdict?.reason ?? ''}\n`,
    );
    return {
      policy: `${kind.name}; ${traffic}, ${deadline}${disturbance === 'none' ? '' : `; ${disturbance}`}`,
      values: {
        requests: duringRollout.length,
        done: verdict?.word === 'done' ? 1 : 0,
        undone: verdict?.word === 'undone' ? 1 : 0,
        wordMs,
        wordPart: wordMs / deadlineMs,
        reached: verdict?.reached ?? end.reached,
        failed: verdict?.failed ?? end.failed,
        share: (verdict?.reached ?? end.reached) / requestsUntilVerdict,
        after:
          verdict?.word === 'undone'
            ? end.reached - (this.#reachedAfterStop.get(service) ?? end.reached)
            : 0,
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

interface VerdictBody {
  readonly kind: string;
  readonly service: string;
  readonly word: 'done' | 'undone';
  readonly reason: string;
}

interface LogEntry {
  readonly body: VerdictBody;
}
