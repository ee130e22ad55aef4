import type { RunnerDirectory, RunnerEntry, Service } from '@ragwortrudder/catalog';
import type { Clock, Closeable } from '@ragwortrudder/core';
import { OutlierDetector, PrefillRate, withoutLostDomains } from '@ragwortrudder/routing';
import type { PlacementCandidate } from '@ragwortrudder/routing';
import type { LoadBoard } from '../utils/load-board.ts';
import type { DecisionLog } from './decision-log.ts';
import { RunnerAgent } from './runner-agent.ts';

interface RunnerPoolOptions {
  readonly directory: RunnerDirectory;
  readonly board: LoadBoard;
  readonly clock: Clock;
  readonly log: DecisionLog;
  /** Nodes that share the runners' connections. */
  readonly nodes: () => number;
}

interface PooledRunner {
  readonly entry: RunnerEntry;
  readonly agent: RunnerAgent;
  /** Mean of measured against expected time; compared with the other runners of the service. */
  readonly ratio: number;
  readonly unreachableUntil: number;
  readonly unreachableTimes: number;
}

const OUTLIER_OPTIONS = {
  maxConsecutiveFailures: 3,
  baseAsideMs: 1_000,
  maxAsideMs: 8_000,
  trialPeriodMs: 300,
  trials: 2,
  maxAsideShare: 0.5,
} as const;
/** First time for which an unreachable runner is left alone, in milliseconds; doubles up to the longest. */
const UNREACHABLE_MS = 400;
const MAX_UNREACHABLE_MS = 3_200;
/** Weight of a new measurement in a runner's mean. */
const RATIO_GAIN = 0.1;
const MIN_RATIO = 0.2;
const MAX_RATIO = 8;
const MIN_CONNECTIONS = 4;
/** Part of a runner's connections that the nodes divide among themselves; the rest covers uneven use. */
const CONNECTION_SHARE = 0.9;
const DEFAULT_CONNECTIONS = 256;

function keyOf({ id, address }: RunnerEntry): string {
  return `${id}@${address.host}:${address.port}`;
}

function medianOf(values: readonly number[]): number {
  const sorted = values.toSorted((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? 1;
}

/** Runners as this node sees them: connections, reachability, failures and speed. */
export class RunnerPool implements Closeable {
  readonly #options: RunnerPoolOptions;
  readonly #runners = new Map<string, PooledRunner>();
  readonly #prefillRates = new Map<string, PrefillRate>();
  readonly #progressAt = new Map<string, number>();
  readonly #detectors = new Map<string, OutlierDetector>();

  constructor(options: RunnerPoolOptions) {
    this.#options = options;
  }

  /** Runners of a service that may take a request now; those of `excluded` are left out. */
  candidates(service: Service, excluded: ReadonlySet<string>): readonly PlacementCandidate[] {
    const now = this.#options.clock.monotonic();
    const entries = this.#options.directory
      .ofService(service.name)
      .filter((entry) => !entry.isDraining && !excluded.has(entry.id));
    const detector = this.#detectorOf(service.name);
    const reachable = withoutLostDomains(
      entries,
      (entry) => this.#runnerOf(entry).unreachableUntil > now,
    );
    const sound = reachable.filter(({ id }) => !detector.isSetAside(id, now));
    const usable = sound.length > 0 ? sound : reachable;
    const median = medianOf(usable.map((entry) => this.#runnerOf(entry).ratio));
    return usable
      .map((entry) => this.#candidateOf(entry, service, median))
      .filter(({ id }) => this.#hasConnectionLeft(id, service));
  }

  /** Measured rate at which the engines of a service read prompts. */
  prefillRate(service: string): PrefillRate {
    const known = this.#prefillRates.get(service);
    if (known) return known;
    const rate = new PrefillRate();
    this.#prefillRates.set(service, rate);
    return rate;
  }

  agentOf(entry: RunnerEntry): RunnerAgent {
    return this.#runnerOf(entry).agent;
  }

  /** Notes that a request is being sent. */
  sent(entry: RunnerEntry): void {
    this.#detectorOf(entry.service).sent(entry.id, this.#options.clock.monotonic());
  }

  /** Takes in that a runner answered, with its measured time against the expected one. */
  succeeded(entry: RunnerEntry, ratio: number): void {
    const runner = this.#runnerOf(entry);
    const bounded = Math.min(MAX_RATIO, Math.max(MIN_RATIO, ratio));
    this.#runners.set(entry.id, {
      ...runner,
      ratio: runner.ratio + RATIO_GAIN * (bounded - runner.ratio),
      unreachableUntil: 0,
      unreachableTimes: 0,
    });
    this.#record(entry, { ok: true, latencyMs: ratio });
  }

  /** Notes that bytes came from a runner. */
  progressed(entry: RunnerEntry): void {
    this.#progressAt.set(entry.id, this.#options.clock.monotonic());
  }

  /** Time since any bytes came from a runner, in milliseconds. */
  silentMs(entry: RunnerEntry): number {
    return this.#options.clock.monotonic() - (this.#progressAt.get(entry.id) ?? 0);
  }

  /** Takes in that a runner failed a request. */
  failed(entry: RunnerEntry): void {
    this.#record(entry, { ok: false });
  }

  /** Takes in that a runner could not be connected to, or has fallen silent. */
  unreachable(entry: RunnerEntry, reason: string): void {
    const runner = this.#runnerOf(entry);
    const now = this.#options.clock.monotonic();
    if (runner.unreachableUntil > now) return;
    const times = runner.unreachableTimes + 1;
    const forMs = Math.min(MAX_UNREACHABLE_MS, UNREACHABLE_MS * 2 ** (times - 1));
    this.#runners.set(entry.id, {
      ...runner,
      unreachableTimes: times,
      unreachableUntil: now + forMs,
    });
    this.#options.log.notable('runner-unreachable', { runner: entry.id, reason, forMs });
  }

  /** Forgets runners that are no longer listed. */
  prune(): void {
    const { directory, board } = this.#options;
    const listed = new Map(directory.all().map((entry) => [entry.id, entry]));
    for (const [id, { agent }] of this.#runners) {
      if (listed.has(id)) continue;
      this.#runners.delete(id);
      this.#progressAt.delete(id);
      agent.retire();
    }
    board.retain(new Set(listed.keys()));
    for (const [service, detector] of this.#detectors) {
      detector.setRunners(directory.ofService(service).map(({ id }) => id));
    }
  }

  close(): Promise<void> {
    for (const { agent } of this.#runners.values()) agent.destroy();
    this.#runners.clear();
    return Promise.resolve();
  }

  #candidateOf(entry: RunnerEntry, service: Service, median: number): PlacementCandidate {
    const work = this.#options.board.workAt(entry.id);
    return {
      id: entry.id,
      failureDomain: entry.failureDomain,
      slots: service.engine?.slots ?? entry.slots,
      inFlight: work.requests,
      prefillTokens: work.prefillTokens,
      kvTokens: work.kvTokens,
      kvCapacityTokens: service.engine?.kvCapacityTokens ?? 0,
      slowness: this.#runnerOf(entry).ratio / median,
    };
  }

  #hasConnectionLeft(id: string, service: Service): boolean {
    const own = this.#options.board.own.get(id)?.requests ?? 0;
    return own < this.#connectionsFor(service.maxConnections);
  }

  #connectionsFor(maxConnections: number): number {
    const limit = maxConnections > 0 ? maxConnections : DEFAULT_CONNECTIONS;
    return Math.max(
      MIN_CONNECTIONS,
      Math.floor((limit * CONNECTION_SHARE) / Math.max(1, this.#options.nodes())),
    );
  }

  #record(
    entry: RunnerEntry,
    outcome: { readonly ok: boolean; readonly latencyMs?: number },
  ): void {
    const now = this.#options.clock.monotonic();
    const isAside = this.#detectorOf(entry.service).record(entry.id, outcome, now);
    if (!isAside) return;
    this.#options.log.notable('runner-set-aside', { runner: entry.id, service: entry.service });
  }

  #detectorOf(service: string): OutlierDetector {
    const known = this.#detectors.get(service);
    if (known) return known;
    const detector = new OutlierDetector(OUTLIER_OPTIONS);
    detector.setRunners(this.#options.directory.ofService(service).map(({ id }) => id));
    this.#detectors.set(service, detector);
    return detector;
  }

  #runnerOf(entry: RunnerEntry): PooledRunner {
    const known = this.#runners.get(entry.id);
    if (known && keyOf(known.entry) === keyOf(entry) && known.entry.bornMs === entry.bornMs) {
      return known;
    }
    known?.agent.retire();
    const runner: PooledRunner = {
      entry,
      agent: new RunnerAgent({ maxSockets: Infinity }),
      ratio: 1,
      unreachableUntil: 0,
      unreachableTimes: 0,
    };
    this.#runners.set(entry.id, runner);
    return runner;
  }
}
