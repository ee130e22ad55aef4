import type { Clock } from '@ragwortrudder/core';
import type { RunnerLoad } from '../types/runner-load.ts';
import type { RunnerWork } from '../types/runner-work.ts';

interface StatedLoad extends RunnerLoad {
  readonly at: number;
}

interface PeerWork {
  readonly at: number;
  readonly byRunner: ReadonlyMap<string, RunnerWork>;
}

interface NoticedPrompt {
  readonly peer: string;
  readonly tokens: number;
  readonly until: number;
}

/** Time for which a noticed prompt counts, in milliseconds per token: twice what a published engine takes to read it. */
const NOTICED_MS_PER_TOKEN = 0.02;
/** What a peer told is used for this long, in milliseconds: several reports, also where many peers report rarely. */
const PEER_FRESH_MS = 2_000;
/** What a runner stated of its load is used for this long, in milliseconds: work changes within it. */
const STATED_FRESH_MS = 300;
const NO_WORK: RunnerWork = { requests: 0, prefillTokens: 0, kvTokens: 0 };

function sum(a: RunnerWork, b: RunnerWork): RunnerWork {
  return {
    requests: a.requests + b.requests,
    prefillTokens: a.prefillTokens + b.prefillTokens,
    kvTokens: a.kvTokens + b.kvTokens,
  };
}

/** Work at each runner: this node's own, what peers told of theirs, and what runners stated. */
export class LoadBoard {
  readonly #clock: Clock;
  readonly #own = new Map<string, RunnerWork>();
  readonly #peers = new Map<string, PeerWork>();
  readonly #stated = new Map<string, StatedLoad>();
  readonly #noticed = new Map<string, readonly NoticedPrompt[]>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** This node's work, runners without any left out. */
  get own(): ReadonlyMap<string, RunnerWork> {
    return this.#own;
  }

  /** Adds this node's work at a runner; negative figures take it away. */
  add(runnerId: string, change: RunnerWork): void {
    const work = sum(this.#own.get(runnerId) ?? NO_WORK, change);
    if (work.requests <= 0) this.#own.delete(runnerId);
    else this.#own.set(runnerId, work);
  }

  /** Takes in that a peer has just sent a long prompt; it counts until it is read or the peer tells again. */
  notice(peer: string, runnerId: string, tokens: number): void {
    const now = this.#clock.monotonic();
    const until = now + tokens * NOTICED_MS_PER_TOKEN;
    const open = (this.#noticed.get(runnerId) ?? []).filter((prompt) => prompt.until > now);
    this.#noticed.set(runnerId, [...open, { peer, tokens, until }]);
  }

  /** Replaces what a peer told. */
  setPeer(peerId: string, byRunner: ReadonlyMap<string, RunnerWork>): void {
    for (const [runner, prompts] of this.#noticed) {
      const others = prompts.filter(({ peer }) => peer !== peerId);
      if (others.length === 0) this.#noticed.delete(runner);
      else this.#noticed.set(runner, others);
    }
    this.#peers.set(peerId, { at: this.#clock.monotonic(), byRunner });
  }

  /** Takes in what a runner stated. */
  setStated(runnerId: string, load: RunnerLoad): void {
    this.#stated.set(runnerId, { ...load, at: this.#clock.monotonic() });
  }

  /** Forgets runners that are gone. */
  retain(runnerIds: ReadonlySet<string>): void {
    for (const id of this.#stated.keys()) if (!runnerIds.has(id)) this.#stated.delete(id);
  }

  /** This node's work and that of the peers named, by runner. */
  sumOver(peerIds: ReadonlySet<string>): ReadonlyMap<string, RunnerWork> {
    const now = this.#clock.monotonic();
    const total = new Map(this.#own);
    for (const [id, { at, byRunner }] of this.#peers) {
      if (!peerIds.has(id) || now - at > PEER_FRESH_MS) continue;
      for (const [runner, work] of byRunner) {
        total.set(runner, sum(total.get(runner) ?? NO_WORK, work));
      }
    }
    return total;
  }

  /** All known work at a runner. */
  workAt(runnerId: string): RunnerWork {
    const now = this.#clock.monotonic();
    let work = this.#own.get(runnerId) ?? NO_WORK;
    for (const { at, byRunner } of this.#peers.values()) {
      const told = now - at > PEER_FRESH_MS ? undefined : byRunner.get(runnerId);
      if (told) work = sum(work, told);
    }
    for (const { tokens, until } of this.#noticed.get(runnerId) ?? []) {
      if (until > now) work = sum(work, { requests: 1, prefillTokens: tokens, kvTokens: tokens });
    }
    const stated = this.#stated.get(runnerId);
    if (!stated || now - stated.at > STATED_FRESH_MS) return work;
    return { ...work, requests: Math.max(work.requests, stated.running + stated.waiting) };
  }
}
