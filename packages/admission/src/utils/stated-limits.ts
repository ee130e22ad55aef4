import type { Clock } from '@ragwortrudder/core';
import type { ColdBound } from '../types/cold-bound.ts';
import type { StatedLimit } from '../types/stated-limit.ts';
import { ColdRunners } from './cold-runners.ts';
import { coldShare } from './cold-share.ts';
import { RunnerStatements } from './runner-statements.ts';

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

interface ColdSharing {
  /** All nodes that have a share, also those that are not heard. */
  readonly nodes: readonly string[];
  /** This node knows the others, and they know it. */
  readonly isSettled: boolean;
  readonly bound: ColdBound;
}

/** This node's part of a limit, and what it was computed from. */
interface ColdPart {
  readonly limit: number;
  readonly perSecond: number;
}

/** The limit in force at a runner. */
interface Limit {
  readonly perSecond: number;
  readonly isCold: boolean;
}

interface Bucket {
  readonly tokens: number;
  readonly refilledAt: number;
  readonly isCold: boolean;
}

const MS_PER_S = 1_000;
/** Lower bound of the rate, in requests per second, so that the end of a limit of 0 is noticed. */
const MIN_RATE = 0.1;
/** Time in which a bucket fills up, in seconds; it evens out the arrivals at one node. */
const BURST_S = 0.25;

/**
 * Limits of requests that runners state in their responses and that hold for all nodes together. Few
 * nodes, by rank for each runner, share a low limit, so that each of their parts still amounts to
 * whole requests; the others send nothing. While peers are unreachable their parts stay unused.
 *
 * A cold runner has the limit of its service, or the one that it states if that is smaller. It crashes
 * beyond its bound, so its limit is divided among all nodes that may still be running, and a node that
 * has just started sends it nothing.
 */
export class StatedLimits {
  /** Runners that are cold. */
  readonly cold: ColdRunners;
  readonly #options: StatedLimitsOptions;
  readonly #statements: RunnerStatements;
  readonly #buckets = new Map<string, Bucket>();
  #changes: readonly LimitChange[] = [];
  #nodes: readonly string[];
  #knownCount = 1;
  #coldSharing: ColdSharing;
  /** This node's parts of the limits of cold runners, by runner. */
  readonly #coldParts = new Map<string, ColdPart>();

  constructor(options: StatedLimitsOptions) {
    this.#options = options;
    this.#statements = new RunnerStatements({
      clock: options.clock,
      onChange: (runner, value, before) => {
        this.#applyChange(runner, value, before);
      },
    });
    this.#nodes = [options.node];
    this.cold = new ColdRunners(options.clock);
    this.#coldSharing = {
      nodes: [options.node],
      isSettled: false,
      bound: { overage: 1, slack: 0 },
    };
  }

  /** Sets the nodes that share the limits, including this one, and how many nodes are known. */
  setNodes(reachable: readonly string[], knownCount: number): void {
    this.#nodes = reachable;
    this.#knownCount = Math.max(reachable.length, knownCount);
  }

  /** Sets the nodes that share the limits of cold runners, and the bound that all of them keep to. */
  setColdSharing(sharing: ColdSharing): void {
    const known = this.#coldSharing;
    const isSame =
      known.isSettled === sharing.isSettled &&
      known.bound.overage === sharing.bound.overage &&
      known.bound.slack === sharing.bound.slack &&
      known.nodes.join('\n') === sharing.nodes.join('\n');
    if (isSame) return;
    this.#coldSharing = sharing;
    this.#coldParts.clear();
  }

  /** Records whether a runner stated a limit in a response to this node. */
  record(runner: string, perSecond: number | undefined): void {
    this.#statements.record(runner, perSecond);
  }

  /** Applies the statements that a peer received. */
  setPeerLimits(limits: readonly StatedLimit[]): void {
    this.#statements.setOfPeer(limits);
  }

  /** Applies the statements that the nodes of another failure domain received. */
  setDomainLimits(limits: readonly StatedLimit[]): void {
    this.#statements.setOfDomain(limits);
  }

  /** Newest statements that this node received. */
  get own(): readonly StatedLimit[] {
    return this.#statements.own;
  }

  /** Newest statements that this node and its peers received. */
  get ofDomain(): readonly StatedLimit[] {
    return this.#statements.ofDomain;
  }

  /** Returns the changes of limits since the last call. */
  takeChanges(): readonly LimitChange[] {
    const changes = this.#changes;
    this.#changes = [];
    return changes;
  }

  /** No runner states a limit or has stated one that may still matter, and none can be cold. */
  get isEmpty(): boolean {
    return this.#statements.isEmpty && this.cold.isEmpty;
  }

  /** Limit that a runner states, in requests per second from all nodes. */
  limitOf(runner: string): number | undefined {
    return this.#statements.valueOf(runner);
  }

  /** Whether this node may send a request to a runner now. */
  mayTake(runner: string): boolean {
    const limit = this.#limitInForce(runner);
    if (limit) return this.#refilled(runner, limit).tokens >= 1;
    // The next limit starts with an empty bucket.
    this.#buckets.delete(runner);
    return true;
  }

  /** Time until this node may send a request to a runner, in milliseconds; Infinity without a share. */
  waitMs(runner: string): number {
    const limit = this.#limitInForce(runner);
    if (!limit) return 0;
    const missing = 1 - this.#refilled(runner, limit).tokens;
    if (missing <= 0) return 0;
    const rate = this.#rateOf(runner, limit);
    return rate > 0 ? (missing / rate) * MS_PER_S : Infinity;
  }

  /** Takes a request from this node's part of a runner's limit. */
  take(runner: string): void {
    const limit = this.#limitInForce(runner);
    if (limit === undefined) return;
    const bucket = this.#refilled(runner, limit);
    this.#buckets.set(runner, { ...bucket, tokens: bucket.tokens - 1 });
  }

  /** Drops the statements of runners that no longer exist. */
  retain(runners: ReadonlySet<string>): void {
    this.#statements.retain(runners);
    this.cold.retain(runners);
    for (const [runner, { isCold }] of this.#buckets) {
      const isOver = isCold && this.cold.limitOf(runner) === undefined;
      if (isOver || !runners.has(runner)) this.#buckets.delete(runner);
    }
    for (const runner of this.#coldParts.keys()) {
      if (!runners.has(runner)) this.#coldParts.delete(runner);
    }
  }

  #applyChange(runner: string, perSecond: number | undefined, before: number | undefined): void {
    // A new limit starts empty: requests that were sent without it are still on their way.
    if (perSecond === undefined) this.#buckets.delete(runner);
    else if (before === undefined) {
      const isCold = this.cold.limitOf(runner) !== undefined;
      const refilledAt = this.#options.clock.monotonic();
      this.#buckets.set(runner, { tokens: 0, refilledAt, isCold });
    }
    this.#changes = [...this.#changes, { runner, perSecond, before }];
  }

  #limitInForce(runner: string): Limit | undefined {
    const stated = this.limitOf(runner);
    const cold = this.cold.limitOf(runner);
    if (cold !== undefined) return { perSecond: Math.min(cold, stated ?? cold), isCold: true };
    return stated === undefined ? undefined : { perSecond: stated, isCold: false };
  }

  #refilled(runner: string, limit: Limit): Bucket {
    const now = this.#options.clock.monotonic();
    const { isCold } = limit;
    const known = this.#buckets.get(runner);
    const isNew = !known || (isCold && !known.isCold);
    const bucket = isNew ? { tokens: 0, refilledAt: now } : known;
    const rate = this.#rateOf(runner, limit);
    // A node that has lost its part must not use what is left of it beside its successor.
    const isWithoutPart = isCold && rate === 0;
    const tokens = isWithoutPart
      ? 0
      : bucket.tokens + (rate * (now - bucket.refilledAt)) / MS_PER_S;
    const most = isCold ? 1 : Math.max(1, rate * BURST_S);
    const refilled = { tokens: Math.min(most, tokens), refilledAt: now, isCold };
    this.#buckets.set(runner, refilled);
    return refilled;
  }

  /** This node's part of a limit, in requests per second. */
  #rateOf(runner: string, { perSecond: limit, isCold }: Limit): number {
    if (isCold) return this.#coldRateOf(runner, limit);
    const { node, rank } = this.#options;
    const sharers = Math.min(this.#nodes.length, 1 + Math.floor(limit));
    if (!rank(runner, this.#nodes).slice(0, sharers).includes(node)) return 0;
    const reachableShare = this.#nodes.length / this.#knownCount;
    return Math.max(MIN_RATE, (limit * reachableShare) / sharers);
  }

  /** This node's part of the limit of a cold runner, in requests per second. */
  #coldRateOf(runner: string, limit: number): number {
    const { node, rank } = this.#options;
    const { nodes, isSettled, bound } = this.#coldSharing;
    if (!isSettled) return 0;
    const known = this.#coldParts.get(runner);
    if (known?.limit === limit) return known.perSecond;
    const { sharers, perSecond } = coldShare({ perSecond: limit, bound, nodes: nodes.length });
    const isSharer = rank(runner, nodes).slice(0, sharers).includes(node);
    const part = isSharer ? perSecond : 0;
    this.#coldParts.set(runner, { limit, perSecond: part });
    return part;
  }
}
