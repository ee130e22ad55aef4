import * as z from 'zod';

const counter = z.number().nonnegative();

/** Monotonically increasing counters of one version on one route in one load band. */
export const EvidenceCell = z
  .strictObject({
    service: z.string().min(1),
    version: z.string().min(1),
    /** Request class. */
    route: z.string().min(1),
    /** Load band of the runner when the request was sent: 0 low, 1 medium, 2 high. */
    loadBand: z.number().int().min(0).max(2),
    /** Finished requests, excluding the excused ones. */
    tries: counter,
    failures: counter,
    /** Failures that the version did not cause, for example a reclaimed VM or invalid input. */
    excused: counter,
    /** Sum of (time to first token / expected time). */
    latencyRatioSum: counter,
    /** Histogram of (time to first token / expected time) over successful requests; see `LATENCY_RATIO_BOUNDS`. */
    latencyBuckets: z.array(counter).readonly(),
  })
  .readonly();
export type EvidenceCell = z.infer<typeof EvidenceCell>;
