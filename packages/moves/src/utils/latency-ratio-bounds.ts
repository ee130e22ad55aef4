/** Inclusive upper bounds of the latency buckets, as multiples of the expected time; an additional last bucket has no upper bound. */
export const LATENCY_RATIO_BOUNDS: readonly number[] = [0.5, 0.75, 1, 1.5, 2, 3, 5, 8];
