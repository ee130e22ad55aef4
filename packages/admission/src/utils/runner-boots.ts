import type { InterruptedRequest } from '../types/interrupted-request.ts';

type Interruption = Pick<InterruptedRequest, 'runner' | 'at'>;

/**
 * Time after an interruption from which a request counts that its runner responds to, in milliseconds:
 * peers report theirs with a delay.
 */
const LIFE_MARGIN_MS = 100;
/**
 * Longest time between the crash of a runner and its absence from the list, in milliseconds. Until then
 * its next boot may respond at the address of the crashed one.
 */
const REPLACEMENT_MS = 15_000;

/** Boots of runners, by incarnation: which of them interruptions have ended. */
export class RunnerBoots {
  /** When the newest request was sent to which the boot has begun to respond. */
  readonly #aliveAt = new Map<string, number>();
  /** When the boot was last found to have ended. */
  readonly #endedAt = new Map<string, number>();
  /** Since when this node's own link explains what it sees at the boot. */
  readonly #ownFaultSince = new Map<string, number>();
  /** When the boot disappeared from the list of runners. */
  readonly #unlistedAt = new Map<string, number>();
  #listed: ReadonlySet<string> = new Set();

  /** Records that a boot has begun to respond to a request that was sent at `sentAt`. */
  recordAlive(runner: string, sentAt: number): void {
    this.#aliveAt.set(runner, Math.max(sentAt, this.#aliveAt.get(runner) ?? 0));
  }

  recordEnded(runner: string, at: number): void {
    this.#endedAt.set(runner, at);
  }

  /** Records that this node's own link explains what it has seen at a boot since a monotonic time. */
  recordOwnFault(runner: string, since: number): void {
    this.#ownFaultSince.set(runner, Math.min(since, this.#ownFaultSince.get(runner) ?? since));
  }

  /** Sets the boots that are in the list of runners. */
  setListed(runners: ReadonlySet<string>, now: number): void {
    for (const runner of this.#listed) {
      if (!runners.has(runner)) this.#unlistedAt.set(runner, now);
    }
    this.#listed = runners;
  }

  /** Whether an interruption may have been the end of its boot. */
  mayHaveEnded(interruption: Interruption): boolean {
    if (this.#wasReplaced(interruption)) return true;
    const { runner, at } = interruption;
    if ((this.#ownFaultSince.get(runner) ?? Infinity) <= at) return false;
    const aliveAt = this.#aliveAt.get(runner) ?? -Infinity;
    return aliveAt <= at + LIFE_MARGIN_MS || (this.#endedAt.get(runner) ?? -Infinity) >= at;
  }

  /** Drops what was recorded before a monotonic time. */
  prune(before: number): void {
    const all = [this.#aliveAt, this.#endedAt, this.#ownFaultSince, this.#unlistedAt];
    for (const times of all) {
      for (const [runner, at] of times) if (at <= before) times.delete(runner);
    }
  }

  /**
   * The list no longer has the boot soon after the interruption. Until then responses of the next boot at
   * the same address look as if the crashed one lived on, and as if only this node's link to it was lost.
   */
  #wasReplaced({ runner, at }: Interruption): boolean {
    const unlistedAt = this.#unlistedAt.get(runner);
    return unlistedAt !== undefined && unlistedAt >= at && unlistedAt - at < REPLACEMENT_MS;
  }
}
