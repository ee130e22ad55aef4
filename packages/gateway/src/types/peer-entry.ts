import * as z from 'zod';

/** Entry of a node in the topic of nodes. */
export const PeerEntry = z.object({
  host: z.string(),
  port: z.number(),
  failureDomain: z.string(),
  life: z.number(),
});
/** Entry of a node in the topic of nodes. */
export type PeerEntry = Readonly<z.infer<typeof PeerEntry>>;
