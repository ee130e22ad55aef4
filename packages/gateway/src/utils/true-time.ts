import type { Clock } from '@ragwortrudder/core';

/** A difference of the wall clock from the steady one that is taken for a step, in milliseconds. */
const STEP_MS = 250;
/** Peers whose agreement outweighs this node's own clock. */
const MIN_PEERS = 2;
/** What a peer told is used for this long, in milliseconds. */
const PEER_FRESH_MS = 5_000;

interface ToldOffset {
  readonly at: number;
  readonly offsetMs: number;
}

/**
 * Time of day that does not follow steps of the wall clock. It runs with the steady clock from the
 * time of day at the start; after a step or a suspension, the median of what peers tell corrects it.
 */
export class TrueTime {
  readonly #clock: Clock;
  readonly #told = new Map<string, ToldOffset>();
  #offsetMs: number;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#offsetMs = clock.wall() - clock.monotonic();
  }

  now(): number {
    return this.#clock.monotonic() + this.#offsetMs;
  }

  /** Takes in the time of day that a peer told just now. */
  told(peerId: string, peerNowMs: number): void {
    const at = this.#clock.monotonic();
    this.#told.set(peerId, { at, offsetMs: peerNowMs - at });
    const fresh = [...this.#told.values()].filter((told) => at - told.at < PEER_FRESH_MS);
    if (fresh.length < MIN_PEERS) return;
    const offsets = fresh.map(({ offsetMs }) => offsetMs).toSorted((a, b) => a - b);
    const median = offsets[Math.floor(offsets.length / 2)] ?? this.#offsetMs;
    if (Math.abs(median - this.#offsetMs) > STEP_MS) this.#offsetMs = median;
  }
}
