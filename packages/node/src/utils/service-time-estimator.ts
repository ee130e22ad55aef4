const SMOOTHING_FACTOR = 0.1;
/** Largest share of the remaining time that the expected service time may use up. */
const MAX_SHARE_OF_REMAINING = 0.5;

interface ServedRequest {
  readonly class: string;
  readonly cost: number;
}

/**
 * Learns how long runners take per unit of cost, for each class of one service (moving average).
 */
export class ServiceTimeEstimator {
  readonly #msPerCost = new Map<string, number>();

  /** Records the time that runners took for a request. */
  record(served: ServedRequest, elapsedMs: number): void {
    const sample = elapsedMs / Math.max(1, served.cost);
    const average = this.#msPerCost.get(served.class) ?? sample;
    this.#msPerCost.set(served.class, average + SMOOTHING_FACTOR * (sample - average));
  }

  /**
   * Time in milliseconds within which a request must start in order to end within `remainingMs`.
   */
  startWithinMs(request: ServedRequest, remainingMs: number): number {
    const expectedMs = (this.#msPerCost.get(request.class) ?? 0) * Math.max(1, request.cost);
    return remainingMs - Math.min(expectedMs, Math.max(0, remainingMs) * MAX_SHARE_OF_REMAINING);
  }
}
