import * as z from 'zod';
import { Amount } from './amount.ts';
import { BoundedText } from './bounded-text.ts';
import { Ordinal } from './ordinal.ts';

const amountsByTeam = z.record(BoundedText, Amount);

/** What a node believes to be left of the teams' limits, told to a peer that has just started. */
export const QuotaLevels = z.object({
  node: BoundedText,
  failureDomain: BoundedText,
  /** Incarnation of the node. */
  life: Ordinal,
  /** By team: tokens, or requests, left by what nodes have reported; negative when overdrawn. */
  levels: amountsByTeam,
  /** By team: quota that the node has consumed since this incarnation started. */
  taken: amountsByTeam,
  /** By team: what of it the node's last report includes, where that is not all. */
  reported: amountsByTeam,
});
/** What a node believes to be left of the teams' limits, told to a peer that has just started. */
export type QuotaLevels = Readonly<z.infer<typeof QuotaLevels>>;
