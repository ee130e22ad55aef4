import * as z from 'zod';
import { ProbeMessage } from './probe-message.ts';

/** Request to probe a third node on behalf of the sender. */
export const IndirectProbe = z
  .strictObject({
    /** Peer address of the node to probe. */
    target: z.string().min(1).max(256),
    message: ProbeMessage,
  })
  .readonly();
export type IndirectProbe = z.infer<typeof IndirectProbe>;
