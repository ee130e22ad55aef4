import * as z from 'zod';

/** Requests per second beyond which a limit is none. */
const MAX_RATE = 1_000_000;

/** What a runner said of its limit in a response, as nodes report it to each other. */
export const StatedLimit = z
  .object({
    /** Incarnation of the runner. */
    runner: z.string(),
    /** Requests per second from all nodes together; null after the runner no longer states a limit. */
    perSecond: z.number().nonnegative().max(MAX_RATE).nullable(),
    /** Time since the response, in milliseconds. */
    ageMs: z.number().min(Number.MIN_SAFE_INTEGER).max(Number.MAX_SAFE_INTEGER),
  })
  .readonly();
/** What a runner said of its limit in a response. */
export type StatedLimit = z.infer<typeof StatedLimit>;
