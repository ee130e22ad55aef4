import * as z from 'zod';

const counter = z.number().nonnegative();

/** Monotone counters of one version on one route in one load band. */
export const EvidenceCell = z
  .strictObject({
    service: z.string().min(1),
    version: z.string().min(1),
    /** Class of the requests. */
    route: z.string().min(1),
    /** Load of the runner when the request was sent: 0 low, 1 middle, 2 high. */
    loadBand: z.number().int().min(0).max(2),
    /** Requests that ended, without the excused ones. */
    tries: counter,
    failures: counter,
    /** Failures with a cause outside the version, such as a reclaimed VM or bad input. */
    excused: counter,
    /** Sum of (time to first token / expected time). */
    latencyRatioSum: counter,
    /** Counts of successful requests by (time to first token / expected time); see `LATENCY_RATIO_BOUNDS`. */
    latencyBuckets: z.array(counter).readonly(),
  })
  .readonly();
export type EvidenceCell = z.infer<typeof EvidenceCell>;
