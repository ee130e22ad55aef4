import * as z from 'zod';
import { BoundedText } from './bounded-text.ts';
import { Ordinal } from './ordinal.ts';
import { Port } from './port.ts';

/** Entry of a node in the topic of nodes. */
export const PeerEntry = z.object({
  host: BoundedText,
  port: Port,
  failureDomain: BoundedText,
  life: Ordinal,
});
/** Entry of a node in the topic of nodes. */
export type PeerEntry = Readonly<z.infer<typeof PeerEntry>>;
