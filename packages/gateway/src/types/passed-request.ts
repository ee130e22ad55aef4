import * as z from 'zod';
import { Amount } from './amount.ts';
import { BoundedText } from './bounded-text.ts';
import { DurationMs } from './duration-ms.ts';

const allowedRegions = z.array(z.string()).readonly().exactOptional();
const route = z.object({
  name: z.string(),
  host: z.string(),
  pathPrefix: z.string(),
  kind: z.enum(['idempotent', 'non-idempotent', 'stream']),
  timeoutMs: DurationMs,
  latencyTargetMs: DurationMs,
  priority: Amount,
  targets: z.array(z.object({ service: z.string(), weight: Amount })).readonly(),
  maxAttempts: Amount,
  isPublic: z.boolean(),
  isResumable: z.boolean(),
  maxGapMs: DurationMs,
  allowedRegions,
});
const service = z.object({
  name: z.string(),
  healthPath: z.string(),
  maxConnections: Amount,
  engine: z.object({ slots: Amount, kvCapacityTokens: Amount }).exactOptional(),
});

/**
 * What a node has decided about a request that it passes on to a peer: the peer does not decide it again, so
 * that a configuration which only one of them has in force makes no difference.
 */
export const PassedRequest = z.object({
  /** Node that received the request from its caller. */
  from: BoundedText,
  route,
  service,
  team: z
    .object({ name: z.string(), priority: Amount.exactOptional(), allowedRegions })
    .exactOptional(),
  /** Attempts in which the request was sent to a runner. */
  sends: Amount,
  /** A runner may have begun to execute the request; its usage is counted. */
  isUsageCounted: z.boolean(),
  /** Runners that the first node cannot reach; the request goes to one of them if it can. */
  lost: z.array(z.string()).readonly(),
  /** Runner that has the prompt of the session in its cache. */
  lastRunner: z.string().exactOptional(),
});
/** What a node has decided about a request that it passes on to a peer. */
export type PassedRequest = Readonly<z.infer<typeof PassedRequest>>;
