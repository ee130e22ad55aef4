import * as z from 'zod';
import { Member } from './member.ts';
import { SoftStateEntry } from './soft-state-entry.ts';

const MAX_ITEMS = 4096;

/** Membership updates and reports, piggybacked on probes and their replies. */
export const Gossip = z
  .strictObject({
    members: z.array(Member).max(MAX_ITEMS).readonly(),
    reports: z.array(SoftStateEntry).max(MAX_ITEMS).readonly(),
  })
  .readonly();
export type Gossip = z.infer<typeof Gossip>;
