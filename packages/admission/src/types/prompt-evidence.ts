import * as z from 'zod';

const MAX_INTERRUPTED = 64;
const MAX_PARTS = 16;
const MAX_QUARANTINED = 64;

/**
 * What a node knows about prompt parts that may crash runners, as sent to peers and stored in the
 * log. Times are ages, because nodes share no clock.
 */
export const PromptEvidence = z
  .object({
    interrupted: z
      .array(
        z.object({
          runner: z.string(),
          request: z.string(),
          parts: z.array(z.string()).max(MAX_PARTS).readonly(),
          hasResponded: z.boolean(),
          ageMs: z.number(),
        }),
      )
      .max(MAX_INTERRUPTED)
      .readonly(),
    /** By part: time since a request with it was last served. */
    served: z.record(z.string(), z.number()).readonly(),
    /** Number of requests that were served recently, whatever their parts. */
    servedCount: z.number(),
    quarantined: z
      .array(
        z.object({
          part: z.string(),
          ageMs: z.number(),
          /** Time until a request with the part is tried again. */
          remainingMs: z.number(),
          /** Number of times that such a trial has failed. */
          failedTrials: z.number(),
        }),
      )
      .max(MAX_QUARANTINED)
      .readonly(),
  })
  .readonly();
/** What a node knows about prompt parts that may crash runners. */
export type PromptEvidence = z.infer<typeof PromptEvidence>;
