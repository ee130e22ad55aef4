import * as z from 'zod';
import { BoundedText } from './bounded-text.ts';
import { Port } from './port.ts';

/** Tells a peer of other nodes that it may not know. */
export const Introduction = z.object({
  /** By node: host, port and failure domain. */
  nodes: z.record(BoundedText, z.tuple([BoundedText, Port, BoundedText])),
});
/** Tells a peer of other nodes that it may not know. */
export type Introduction = Readonly<z.infer<typeof Introduction>>;
