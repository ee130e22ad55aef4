import type { Clock } from '@ragwortrudder/core';
import type { StatedLimit } from '../types/stated-limit.ts';

interface StatedLimitsOptions {
  readonly clock: Clock;
  /** This node. */
  readonly node: string;
  /** Orders nodes for a runner, in the same way on all nodes. */
  readonly rank: (runner: string, nodes: readonly string[]) => readonly string[];
}

interface LimitChange {
  readonly runner: string;
  readonly perSecond: number | undefined;
  readonly before: number | undefined;
}

interface Statement {
  readonly perSecond: number | undefined;
  readonly at: number;
}

interface Bucket {
  readonly tokens: number;
  readonly refilledAt: number;
}

const MS_PER_S = 1_000;
/** Lower bound of the rate, in requests per second, so that the end of a limit of 0 is noticed. */
const MIN_RATE = 0.1;
/** Time in which a bucket fills up, in seconds; it evens out the arrivals at one node. */
const BURST_S = 0.25;
/** How long the end of a limit is reported, in milliseconds: nodes that lose reports learn of it too. */
const END_REPORTED_MS = 10_000;
const MAX_REPORTED = 64;

/**
 * Limits of requests that runners state in their responses and that hold for all nodes together. Few
 * nodes, by rank for each runner, share a low limit, so that each of their parts still amounts to
 * whole requests; the others send nothing. While peers are unreachable their parts stay unused.
 */
export class StatedLimits {
  readonly #options: StatedLimitsOptions;
  readonly #own = new Map<string, Statement>();
  /** From nodes that report to this one. */
  readonly #fromPeers = new Map<string, Statement>();
  /** From summaries of other failure domains, which are not passed on. */
  readonly #fromDomains = new Map<string, Statement>();
  readonly #buckets = new Map<string, Bucket>();
  #changes: readonly LimitChange[] = [];
  #nodes: readonly string[];
  #knownCount = 1;

  constructor(options: StatedLimitsOptions) {
    this.#options = options;
    this.#nodes = [options.node];
  }

  /** Sets the nodes that share the limits, including this one, and how many nodes are known. */
  setNodes(reachable: readonly string[], knownCount: number): void {
    this.#nodes = reachable;
    this.#knownCount = Math.max(reachable.length, knownCount);
  }

  /** Records whether a runner stated a limit in a response to this node. */
  record(runner: string, perSecond: number | undefined): void {
    const known = this.#statementOf(runner);
    if (perSecond === undefined && known?.perSecond === undefined) return;
    const at = this.#options.clock.monotonic();
    this.#own.set(runner, { perSecond, at });
    this.#applyChange(runner, known?.perSecond);
  }

  /** Applies the statements that a peer received. */
  setPeerLimits(limits: readonly StatedLimit[]): void {
    this.#merge(this.#fromPeers, limits);
  }

  /** Applies the statements that the nodes of another failure domain received. */
  setDomainLimits(limits: readonly StatedLimit[]): void {
    this.#merge(this.#fromDomains, limits);
  }

  /** Newest statements that this node received. */
  get own(): readonly StatedLimit[] {
    return this.#encode([this.#own]);
  }

  /** Newest statements that this node and its peers received. */
  get ofDomain(): readonly StatedLimit[] {
    return this.#encode([this.#own, this.#fromPeers]);
  }

  /** Returns the changes of limits since the last call. */
  takeChanges(): readonly LimitChange[] {
    const changes = this.#changes;
    this.#changes = [];
    return changes;
  }

  /** No runner states a limit or has stated one that may still matter. */
  get isEmpty(): boolean {
    return this.#own.size + this.#fromPeers.size + this.#fromDomains.size === 0;
  }

  /** Limit that a runner states, in requests per second from all nodes. */
  limitOf(runner: string): number | undefined {
    return this.#statementOf(runner)?.perSecond;
  }

  /** Whether this node may send a request to a runner now. */
  mayTake(runner: string): boolean {
    const limit = this.limitOf(runner);
    return limit === undefined || this.#refilled(runner, limit).tokens >= 1;
  }

  /** Takes a request from this node's part of a runner's limit. */
  take(runner: string): void {
    const limit = this.limitOf(runner);
    if (limit === undefined) return;
    const bucket = this.#refilled(runner, limit);
    this.#buckets.set(runner, { ...bucket, tokens: bucket.tokens - 1 });
  }

  /** Drops the statements of runners that no longer exist. */
  retain(runners: ReadonlySet<string>): void {
    for (const map of [this.#own, this.#fromPeers, this.#fromDomains, this.#buckets]) {
      for (const runner of map.keys()) if (!runners.has(runner)) map.delete(runner);
    }
  }

  #merge(statements: Map<string, Statement>, limits: readonly StatedLimit[]): void {
    const now = this.#options.clock.monotonic();
    for (const { runner, perSecond, ageMs } of limits) {
      const at = now - ageMs;
      const known = statements.get(runner);
      if (known && known.at >= at) continue;
      const before = this.limitOf(runner);
      statements.set(runner, { perSecond: perSecond ?? undefined, at });
      this.#applyChange(runner, before);
    }
  }

  #applyChange(runner: string, before: number | undefined): void {
    const perSecond = this.limitOf(runner);
    if (perSecond === before) return;
    // A new limit starts empty: requests that were sent without it are still on their way.
    if (perSecond === undefined) this.#buckets.delete(runner);
    else if (before === undefined) {
      this.#buckets.set(runner, { tokens: 0, refilledAt: this.#options.clock.monotonic() });
    }
    this.#changes = [...this.#changes, { runner, perSecond, before }];
  }

  #statementOf(runner: string): Statement | undefined {
    let newest: Statement | undefined;
    for (const map of [this.#own, this.#fromPeers, this.#fromDomains]) {
      const statement = map.get(runner);
      if (statement && statement.at > (newest?.at ?? -Infinity)) newest = statement;
    }
    return newest;
  }

  #refilled(runner: string, limit: number): Bucket {
    const now = this.#options.clock.monotonic();
    const bucket = this.#buckets.get(runner) ?? { tokens: 0, refilledAt: now };
    const rate = this.#rateOf(runner, limit);
    const tokens = bucket.tokens + (rate * (now - bucket.refilledAt)) / MS_PER_S;
    const refilled = { tokens: Math.min(Math.max(1, rate * BURST_S), tokens), refilledAt: now };
    this.#buckets.set(runner, refilled);
    return refilled;
  }

  /** This node's part of a limit, in requests per second. */
  #rateOf(runner: string, limit: number): number {
    const { node, rank } = this.#options;
    const sharers = Math.min(this.#nodes.length, 1 + Math.floor(limit));
    if (!rank(runner, this.#nodes).slice(0, sharers).includes(node)) return 0;
    const reachableShare = this.#nodes.length / this.#knownCount;
    return Math.max(MIN_RATE, (limit * reachableShare) / sharers);
  }

  #encode(maps: readonly ReadonlyMap<string, Statement>[]): readonly StatedLimit[] {
    const now = this.#options.clock.monotonic();
    const newest = new Map<string, Statement>();
    for (const [runner, statement] of maps.flatMap((map) => [...map])) {
      if (statement.at > (newest.get(runner)?.at ?? -Infinity)) newest.set(runner, statement);
    }
    return [...newest]
      .filter(([, { perSecond, at }]) => perSecond !== undefined || now - at < END_REPORTED_MS)
      .slice(0, MAX_REPORTED)
      .map(([runner, { perSecond, at }]) => {
        return { runner, perSecond: perSecond ?? null, ageMs: Math.round(now - at) };
      });
  }
}
