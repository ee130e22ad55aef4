import * as z from 'zod';

/** Response of a runner to `GET /load`. */
export const RunnerLoad = z
  .object({
    /** Wall-clock time in milliseconds at which the runner measured its load. */
    at: z.number(),
    running: z.number(),
    waiting: z.number(),
    kvUsed: z.number().optional(),
    kvCapacity: z.number().optional(),
    prefillRate: z.number().optional(),
    stepMs: z.number().optional(),
    leaving: z.boolean(),
  })
  .readonly();
export type RunnerLoad = z.infer<typeof RunnerLoad>;
