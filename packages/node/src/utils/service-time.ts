const GAIN = 0.1;
/** Part of the time left that the expected service may take up at most. */
const MAX_PART = 0.5;

interface ServedRequest {
  readonly class: string;
  readonly cost: number;
}

/** Learns how long runners take for a unit of cost, for each class of one service. */
export class ServiceTime {
  readonly #msPerCost = new Map<string, number>();

  /** Takes in the time that runners took for a request. */
  add(served: ServedRequest, elapsedMs: number): void {
    const sample = elapsedMs / Math.max(1, served.cost);
    const known = this.#msPerCost.get(served.class) ?? sample;
    this.#msPerCost.set(served.class, known + GAIN * (sample - known));
  }

  /** Time in milliseconds by which a request must start to end in `remainingMs`. */
  startWithinMs(request: ServedRequest, remainingMs: number): number {
    const expectedMs = (this.#msPerCost.get(request.class) ?? 0) * Math.max(1, request.cost);
    return remainingMs - Math.min(expectedMs, Math.max(0, remainingMs) * MAX_PART);
  }
}
