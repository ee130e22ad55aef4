import { PromptEvidence } from '@ragwortrudder/admission';
import * as z from 'zod';
import { Ordinal } from './ordinal.ts';

/** What a node knew about prompt parts that may crash runners, as stored in the log. */
export const StoredPromptEvidence = z.object({
  /** Incarnation of the node. */
  life: Ordinal,
  /** Time of day at which it was stored, in milliseconds since the epoch. */
  at: Ordinal,
  evidence: PromptEvidence,
});
/** What a node knew about prompt parts that may crash runners, as stored in the log. */
export type StoredPromptEvidence = Readonly<z.infer<typeof StoredPromptEvidence>>;
