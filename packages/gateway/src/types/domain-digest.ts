import {
  BrittleReport,
  ColdStatement,
  PromptEvidence,
  StatedLimit,
} from '@ragwortrudder/admission';
import { SpeedSums } from './speed-sums.ts';
import * as z from 'zod';
import { MAX_COLD_STATEMENTS } from '../utils/max-cold-statements.ts';
import { RunnerBoot } from './runner-boot.ts';
import { Amount } from './amount.ts';
import { BoundedText } from './bounded-text.ts';
import { Ordinal } from './ordinal.ts';
import { Port } from './port.ts';

/**
 * Summary of a failure domain that its relays send to the nodes of the other domains, so that not
 * every node has to report to every other one. Each value replaces the previous one.
 */
export const DomainDigest = z.object({
  relay: BoundedText,
  failureDomain: BoundedText,
  /** Incarnation of the relay. */
  life: Ordinal,
  /** Sequence number within the incarnation; receivers drop older digests. */
  sequence: Ordinal,
  /**
   * Nodes of the domain that are reachable from the relay, including itself: host, port, fencing
   * token of the duty term.
   */
  members: z.record(BoundedText, z.tuple([BoundedText, Port, Ordinal])),
  /** By runner, summed over all members: requests, prompt tokens still in prefill, all tokens. */
  work: z.record(BoundedText, z.tuple([Amount, Amount, Amount])),
  /** By team: quota that the members have consumed since this incarnation of the relay started. */
  taken: z.record(BoundedText, Amount),
  /** Time of day according to the relay, in milliseconds since the epoch. */
  now: Ordinal.optional(),
  /**
   * Only for the nodes of the domain itself: which report of each member the digest is based on
   * (incarnation, sequence number), and its age in milliseconds.
   */
  heard: z.record(BoundedText, z.tuple([Ordinal, Ordinal, Ordinal])).optional(),
  /** Limits that runners stated in responses to the members. */
  limits: z.array(StatedLimit).readonly().optional(),
  /** Remaining cold times that runners stated in responses to the members. */
  cold: z.array(ColdStatement).max(MAX_COLD_STATEMENTS).readonly().optional(),
  /** Brittle runners, as the members know them. */
  brittle: BrittleReport.optional(),
  /** By boot of a runner with new samples: what the members have measured of its speed. */
  speeds: z.record(BoundedText, SpeedSums).optional(),
  /** All members read compressed messages; absent in digests of older builds. */
  readsCompressed: z.boolean().optional(),
  /** Version of the configuration that the relay follows. */
  configuration: Ordinal.optional(),
  /** Time for which the relay has read the list of runners without an outage, in milliseconds. */
  listReadMs: Ordinal.optional(),
  /** Runners that are leaving, as the members know. */
  leaving: z.array(RunnerBoot).readonly().optional(),
  /** What the members know about prompt parts that may crash runners. */
  prompts: PromptEvidence.optional(),
});
/** Summary of a failure domain that its relays send to the nodes of the other domains. */
export type DomainDigest = Readonly<z.infer<typeof DomainDigest>>;
