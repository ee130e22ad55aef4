import {
  BrittleReport,
  ColdStatement,
  PromptEvidence,
  StatedLimit,
} from '@ragwortrudder/admission';
import { Evidence } from '@ragwortrudder/moves';
import { SpeedSums } from './speed-sums.ts';
import * as z from 'zod';
import { MAX_COLD_STATEMENTS } from '../utils/max-cold-statements.ts';
import { RunnerBoot } from './runner-boot.ts';
import { Amount } from './amount.ts';
import { BoundedText } from './bounded-text.ts';
import { Ordinal } from './ordinal.ts';
import { Port } from './port.ts';
import { UsageWindow } from './usage-window.ts';

const countsByTeam = z.record(BoundedText, Amount);

/** State that a node sends to its peers several times a second; each value replaces the previous one. */
export const NodeReport = z.object({
  node: BoundedText,
  host: BoundedText,
  port: Port,
  failureDomain: BoundedText,
  /** Incarnation of the node. */
  life: Ordinal,
  /** Sequence number within the incarnation; receivers drop older reports. */
  sequence: Ordinal,
  /** Time of day according to the node, in milliseconds since the epoch. */
  now: Ordinal,
  /** By runner: requests, prompt tokens still in prefill, all tokens. */
  work: z.record(BoundedText, z.tuple([Amount, Amount, Amount])),
  /** By team: quota that this node has consumed since this incarnation started. */
  taken: countsByTeam,
  /** By window and team: requests that started executing. */
  usage: z.record(UsageWindow, countsByTeam),
  /** By service: requests, prompt tokens and output tokens since this incarnation started. */
  demand: z.record(BoundedText, z.tuple([Amount, Amount, Amount])),
  /** By service: milliseconds back to an earlier one of these totals, and that total. */
  earlierDemand: z.record(BoundedText, z.tuple([Amount, Amount, Amount, Amount])).optional(),
  /** How requests turned out at the versions of services that are rolled out. */
  outcomes: Evidence.optional(),
  /** Limits that runners stated in responses to the node. */
  limits: z.array(StatedLimit).readonly().optional(),
  /** Remaining cold times that runners stated in responses to the node. */
  cold: z.array(ColdStatement).max(MAX_COLD_STATEMENTS).readonly().optional(),
  /** Brittle runners, as the node knows them. */
  brittle: BrittleReport.optional(),
  /** By boot of a runner with new samples: what the node has measured of its speed. */
  speeds: z.record(BoundedText, SpeedSums).optional(),
  /** Version of the configuration that the node follows. */
  configuration: Ordinal.optional(),
  /** Time for which the node has read the list of runners without an outage, in milliseconds. */
  listReadMs: Ordinal.optional(),
  /** Runners that are leaving, by id and start of the boot. */
  leaving: z.array(RunnerBoot).readonly().optional(),
  /** Runners that the node cannot reach, by id and start of the boot. */
  outOfReach: z.array(RunnerBoot).readonly().optional(),
  /** Of the runners that peers cannot reach: those that the node has just reached. */
  reached: z.array(RunnerBoot).readonly().optional(),
  /** What the node knows about prompt parts that may crash runners. */
  prompts: PromptEvidence.optional(),
  /** Of the ids of the nodes that the node hears, among those that report to each other, and its own. */
  fingerprint: Ordinal.optional(),
  /** The node reads digests of its own failure domain; absent in reports of older builds. */
  readsLocalDigests: z.boolean().optional(),
  /** The node reads compressed messages; absent in reports of older builds. */
  readsCompressed: z.boolean().optional(),
  /** The node keeps to home regions of requests; absent in reports of older builds. */
  keepsHomeRegions: z.boolean().optional(),
  /** The node has just started and does not know what is left of the teams' limits. */
  asksQuotaLevels: z.boolean().optional(),
  /** Fencing token of the duty term that the node holds and can act on; otherwise 0. */
  duty: Ordinal,
  /** The node is shutting down. */
  isLeaving: z.boolean(),
});
/** State that a node sends to its peers several times a second; each value replaces the previous one. */
export type NodeReport = Readonly<z.infer<typeof NodeReport>>;
