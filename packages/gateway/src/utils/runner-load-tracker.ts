import type { Clock } from '@ragwortrudder/core';
import type { RunnerLoad } from '../types/runner-load.ts';
import type { RunnerWork } from '../types/runner-work.ts';

interface ReportedLoad extends RunnerLoad {
  readonly at: number;
  /** Requests that this node has sent there since. */
  readonly sentSince: number;
}

interface PeerWork {
  /** Monotonic time until which it is used, in milliseconds. */
  readonly until: number;
  readonly byRunner: ReadonlyMap<string, RunnerWork>;
}

interface AnnouncedPrompt {
  readonly peer: string;
  readonly tokens: number;
  readonly until: number;
}

/**
 * How long an announced prompt counts, in milliseconds per token: twice the published prefill time
 * of an engine.
 */
const ANNOUNCED_MS_PER_TOKEN = 0.02;
/** How long a load reported by a runner is used, in milliseconds: the load changes on this time scale. */
const REPORTED_LOAD_TTL_MS = 300;
/** How long the sum of the peers' work is used, in milliseconds, unless one of them reports before. */
const PEER_TOTAL_TTL_MS = 50;
const NO_WORK: RunnerWork = { requests: 0, prefillTokens: 0, kvTokens: 0 };

function addWork(a: RunnerWork, b: RunnerWork): RunnerWork {
  return {
    requests: a.requests + b.requests,
    prefillTokens: a.prefillTokens + b.prefillTokens,
    kvTokens: a.kvTokens + b.kvTokens,
  };
}

/**
 * Tracks the work at each runner: requests of this node, work reported by peers, and load reported
 * by the runners.
 */
export class RunnerLoadTracker {
  readonly #clock: Clock;
  readonly #own = new Map<string, RunnerWork>();
  readonly #peerWork = new Map<string, PeerWork>();
  readonly #reportedLoads = new Map<string, ReportedLoad>();
  readonly #announcedPrompts = new Map<string, readonly AnnouncedPrompt[]>();
  /** Sum of the peers' work. */
  #peerTotal: PeerWork | undefined;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** This node's work by runner; runners without work are omitted. */
  get own(): ReadonlyMap<string, RunnerWork> {
    return this.#own;
  }

  /** Adds to this node's work at a runner; negative values subtract. */
  add(runnerId: string, change: RunnerWork): void {
    const work = addWork(this.#own.get(runnerId) ?? NO_WORK, change);
    if (change.requests > 0) this.#countSent(runnerId, change.requests);
    if (work.requests <= 0) this.#own.delete(runnerId);
    else this.#own.set(runnerId, work);
  }

  /**
   * Adds a long prompt that a peer has just sent; it counts until its prefill should be over or the
   * peer's next report arrives.
   */
  addAnnouncedPrompt(peer: string, runnerId: string, tokens: number): void {
    const now = this.#clock.monotonic();
    const until = now + tokens * ANNOUNCED_MS_PER_TOKEN;
    const unexpired = (this.#announcedPrompts.get(runnerId) ?? []).filter(
      (prompt) => prompt.until > now,
    );
    this.#announcedPrompts.set(runnerId, [...unexpired, { peer, tokens, until }]);
  }

  /** Replaces the work of a peer, which is used for `ttlMs`, and drops the prompts that it announced. */
  setPeerWork(peerId: string, byRunner: ReadonlyMap<string, RunnerWork>, ttlMs: number): void {
    for (const [runner, prompts] of this.#announcedPrompts) {
      const others = prompts.filter(({ peer }) => peer !== peerId);
      if (others.length === 0) this.#announcedPrompts.delete(runner);
      else this.#announcedPrompts.set(runner, others);
    }
    this.#peerWork.set(peerId, { until: this.#clock.monotonic() + ttlMs, byRunner });
    this.#peerTotal = undefined;
  }

  /** Records the load that a runner reported. */
  setReportedLoad(runnerId: string, load: RunnerLoad): void {
    this.#reportedLoads.set(runnerId, { ...load, at: this.#clock.monotonic(), sentSince: 0 });
  }

  /** Drops the reported loads of all runners that are not in `runnerIds`. */
  retain(runnerIds: ReadonlySet<string>): void {
    for (const id of this.#reportedLoads.keys())
      if (!runnerIds.has(id)) this.#reportedLoads.delete(id);
  }

  /** Sum of this node's work and that of the given peers, by runner. */
  totalOver(peerIds: ReadonlySet<string>): ReadonlyMap<string, RunnerWork> {
    const now = this.#clock.monotonic();
    const total = new Map(this.#own);
    for (const [id, { until, byRunner }] of this.#peerWork) {
      if (!peerIds.has(id) || until < now) continue;
      for (const [runner, work] of byRunner) {
        total.set(runner, addWork(total.get(runner) ?? NO_WORK, work));
      }
    }
    return total;
  }

  /** Counted only at runners that state their momentary speed; elsewhere the reported load is used as it is. */
  #countSent(runnerId: string, requests: number): void {
    const load = this.#reportedLoads.get(runnerId);
    if (load?.slowness === undefined) return;
    this.#reportedLoads.set(runnerId, { ...load, sentSince: load.sentSince + requests });
  }

  /** Kept for a moment, since a request asks for each runner of its service. */
  #peerTotalAt(now: number): ReadonlyMap<string, RunnerWork> {
    if (this.#peerTotal && now < this.#peerTotal.until) {
      return this.#peerTotal.byRunner;
    }
    const byRunner = new Map<string, RunnerWork>();
    for (const [id, peer] of this.#peerWork) {
      if (peer.until < now) {
        this.#peerWork.delete(id);
        continue;
      }
      for (const [runner, work] of peer.byRunner) {
        byRunner.set(runner, addWork(byRunner.get(runner) ?? NO_WORK, work));
      }
    }
    this.#peerTotal = { until: now + PEER_TOTAL_TTL_MS, byRunner };
    return byRunner;
  }

  /** Total known work at a runner. */
  workAt(runnerId: string): RunnerWork {
    const now = this.#clock.monotonic();
    let work = this.#own.get(runnerId) ?? NO_WORK;
    const peerWork = this.#peerTotalAt(now).get(runnerId);
    if (peerWork) work = addWork(work, peerWork);
    for (const { tokens, until } of this.#announcedPrompts.get(runnerId) ?? []) {
      if (until > now)
        work = addWork(work, { requests: 1, prefillTokens: tokens, kvTokens: tokens });
    }
    const reportedLoad = this.#reportedLoads.get(runnerId);
    if (!reportedLoad || now - reportedLoad.at > REPORTED_LOAD_TTL_MS) return work;
    return {
      ...work,
      requests: Math.max(
        work.requests,
        reportedLoad.running + reportedLoad.waiting + reportedLoad.sentSince,
      ),
    };
  }
}
