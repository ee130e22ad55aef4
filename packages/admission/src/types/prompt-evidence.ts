import * as z from 'zod';
import { EVIDENCE_LIMITS } from '../utils/evidence-limits.ts';

/** Age, time or number that stays exact; the time until a trial is negative once the trial is due. */
const quantity = z.number().min(Number.MIN_SAFE_INTEGER).max(Number.MAX_SAFE_INTEGER);

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
          parts: z.array(z.string()).max(EVIDENCE_LIMITS.parts).readonly(),
          hasResponded: z.boolean(),
          ageMs: quantity,
        }),
      )
      .max(EVIDENCE_LIMITS.interrupted)
      .readonly(),
    /** By part: time since a request with it was last served. */
    served: z.record(z.string(), quantity).readonly(),
    /** Number of requests that were served recently, whatever their parts. */
    servedCount: quantity,
    quarantined: z
      .array(
        z.object({
          part: z.string(),
          ageMs: quantity,
          /** Time until a request with the part is tried again. */
          remainingMs: quantity,
          /** Number of times that such a trial has failed. */
          failedTrials: quantity,
        }),
      )
      .max(EVIDENCE_LIMITS.quarantined)
      .readonly(),
  })
  .readonly();
/** What a node knows about prompt parts that may crash runners. */
export type PromptEvidence = z.infer<typeof PromptEvidence>;
