import type { Clock } from '@ragwortrudder/core';

/**
 * Time for which a sound peer may be out of reach, in milliseconds: longer than it is silent beside a stall
 * or a lost link.
 */
const MAX_SOUND_SILENCE_MS = 2_000;

/** Tells a peer that is gone from one that is not heard for a moment. */
export class PeerSilence {
  readonly #clock: Clock;
  #since: number | undefined;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Records that the peer sends, or that nothing is heard of it. */
  record(isHeard: boolean): void {
    this.#since = isHeard ? undefined : (this.#since ?? this.#clock.monotonic());
  }

  /** No sound peer is silent for so long. */
  get isFaulty(): boolean {
    return (
      this.#since !== undefined && this.#clock.monotonic() - this.#since > MAX_SOUND_SILENCE_MS
    );
  }
}
