import { PromptEvidence, StatedLimit } from '@ragwortrudder/admission';
import * as z from 'zod';
import { RunnerBoot } from './runner-boot.ts';

/**
 * Summary of a failure domain that its relays send to the nodes of the other domains, so that not
 * every node has to report to every other one. Each value replaces the previous one.
 */
export const DomainDigest = z.object({
  relay: z.string(),
  failureDomain: z.string(),
  /** Incarnation of the relay. */
  life: z.number(),
  /** Sequence number within the incarnation; receivers drop older digests. */
  sequence: z.number(),
  /**
   * Nodes of the domain that are reachable from the relay, including itself: host, port, fencing
   * token of the duty term.
   */
  members: z.record(z.string(), z.tuple([z.string(), z.number(), z.number()])),
  /** By runner, summed over all members: requests, prompt tokens still in prefill, all tokens. */
  work: z.record(z.string(), z.tuple([z.number(), z.number(), z.number()])),
  /** By team: quota that the members have consumed since this incarnation of the relay started. */
  taken: z.record(z.string(), z.number()),
  /** Limits that runners stated in responses to the members. */
  limits: z.array(StatedLimit).readonly().optional(),
  /** Version of the configuration that the relay follows. */
  configuration: z.number().optional(),
  /** Runners that are leaving, as the members know. */
  leaving: z.array(RunnerBoot).readonly().optional(),
  /** What the members know about prompt parts that may crash runners. */
  prompts: PromptEvidence.optional(),
});
/** Summary of a failure domain that its relays send to the nodes of the other domains. */
export type DomainDigest = Readonly<z.infer<typeof DomainDigest>>;
