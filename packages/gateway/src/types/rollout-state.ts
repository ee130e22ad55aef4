import * as z from 'zod';
import { Ordinal } from './ordinal.ts';

/** State of the roll-out of a service, recorded by the duty holder and followed by all nodes. */
export const RolloutState = z
  .object({
    service: z.string(),
    fromVersion: z.string(),
    targetVersion: z.string(),
    /** Versions that earlier roll-outs took back or did not finish. */
    rejected: z.array(z.string()).readonly(),
    durationMs: Ordinal,
    /** Start in milliseconds since the epoch. */
    startedAt: Ordinal,
    /** Share of the requests that the target version receives. */
    share: z.number().min(0).max(1),
    /**
     * `moving` until the verdict; `taking-over` while requests finish at the old runners, which stop
     * once the roll-out is `completed`.
     */
    phase: z.enum(['moving', 'taking-over', 'completed', 'rolled-back']),
    /** Start of the phase in milliseconds since the epoch. */
    phaseSince: Ordinal,
    reason: z.string(),
    /** Increases with each record, also with one that changes nothing else. */
    sequence: Ordinal,
  })
  .readonly();
/** State of the roll-out of a service, recorded by the duty holder and followed by all nodes. */
export type RolloutState = z.infer<typeof RolloutState>;
