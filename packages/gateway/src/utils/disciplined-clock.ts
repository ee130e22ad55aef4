import type { Clock } from '@ragwortrudder/core';

/** Deviation from the peers' median time above which this clock is corrected, in milliseconds. */
const STEP_THRESHOLD_MS = 250;
/** Number of peers whose times are needed to overrule this node's clock. */
const MIN_PEERS = 2;
/** How long the time received from a peer is used, in milliseconds. */
const PEER_OFFSET_TTL_MS = 5_000;

interface PeerOffset {
  readonly at: number;
  readonly offsetMs: number;
}

/**
 * Time of day that does not follow steps of the wall clock. It starts at the wall-clock time and then
 * advances with the monotonic clock. The median of the peers' times corrects it, for example after the
 * process was suspended.
 */
export class DisciplinedClock {
  readonly #clock: Clock;
  readonly #peerOffsets = new Map<string, PeerOffset>();
  #offsetMs: number;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#offsetMs = clock.wall() - clock.monotonic();
  }

  now(): number {
    return this.#clock.monotonic() + this.#offsetMs;
  }

  /** Applies the time of day from a report that has just been received. */
  addPeerTime(peerId: string, peerNowMs: number): void {
    const at = this.#clock.monotonic();
    const peerOffsetMs = peerNowMs - at;
    this.#peerOffsets.set(peerId, { at, offsetMs: peerOffsetMs });
    // Where the median is off, so are the times of most peers, of which the next one arrives soon.
    if (Math.abs(peerOffsetMs - this.#offsetMs) <= STEP_THRESHOLD_MS) return;
    const recent = [...this.#peerOffsets.values()].filter(
      (offset) => at - offset.at < PEER_OFFSET_TTL_MS,
    );
    if (recent.length < MIN_PEERS) return;
    const offsets = recent.map(({ offsetMs }) => offsetMs).toSorted((a, b) => a - b);
    const median = offsets[Math.floor(offsets.length / 2)] ?? this.#offsetMs;
    if (Math.abs(median - this.#offsetMs) > STEP_THRESHOLD_MS) this.#offsetMs = median;
  }
}
