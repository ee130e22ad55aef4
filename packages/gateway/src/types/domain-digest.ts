import * as z from 'zod';

/**
 * What a relay tells the other failure domains of its own, so that not every node has to tell every
 * other one. Each figure replaces the one before.
 */
export const DomainDigest = z.object({
  relay: z.string(),
  failureDomain: z.string(),
  /** Distinguishes the lives of the relay. */
  life: z.number(),
  /** Number of the digest within the life; older ones are dropped. */
  sequence: z.number(),
  /** Nodes of the domain that the relay hears, itself included: host, port, fencing token of the duty term. */
  members: z.record(z.string(), z.tuple([z.string(), z.number(), z.number()])),
  /** By runner, over all members: requests, prompt tokens without a first token, tokens. */
  work: z.record(z.string(), z.tuple([z.number(), z.number(), z.number()])),
  /** By team: what the members drew from its limit since the start of this life of the relay. */
  taken: z.record(z.string(), z.number()),
});
/** What a relay tells the other failure domains of its own. */
export type DomainDigest = Readonly<z.infer<typeof DomainDigest>>;
