import * as z from 'zod';

const counts = z.record(z.string(), z.number());

/** What a node tells its peers several times a second; each figure replaces the one before. */
export const NodeReport = z.object({
  node: z.string(),
  host: z.string(),
  port: z.number(),
  failureDomain: z.string(),
  /** Distinguishes the lives of a node. */
  life: z.number(),
  /** Number of the report within the life; older ones are dropped. */
  sequence: z.number(),
  /** Time of day as the node holds it, in milliseconds. */
  now: z.number(),
  /** By runner: requests, prompt tokens without a first token, tokens. */
  work: z.record(z.string(), z.tuple([z.number(), z.number(), z.number()])),
  /** By team: what it drew from its limit since the start of this life. */
  taken: counts,
  /** By window and team: requests that began to run. */
  usage: z.record(z.string(), counts),
  /** By service: requests, prompt tokens and output tokens since the start of this life. */
  demand: z.record(z.string(), z.tuple([z.number(), z.number(), z.number()])),
  /** Fencing token of the duty term that the node holds and can act on; 0 when it holds none. */
  duty: z.number(),
  /** The node is about to stop. */
  isLeaving: z.boolean(),
});
/** What a node tells its peers several times a second; each figure replaces the one before. */
export type NodeReport = Readonly<z.infer<typeof NodeReport>>;
