import { z } from 'zod';

const Member = z
  .looseObject({
    nodeId: z.string(),
    failureDomain: z.string(),
    state: z.string(),
    callerAddress: z.string(),
  })
  .readonly();

const Runner = z
  .looseObject({
    id: z.string(),
    service: z.string(),
    version: z.string(),
    failureDomain: z.string(),
    state: z.string(),
    setAside: z.boolean(),
    loadAgeMs: z.number().nullable(),
    inFlight: z.number(),
    limit: z.number(),
  })
  .readonly();

const Move = z
  .looseObject({
    moveId: z.string(),
    state: z.string(),
    plan: z.looseObject({ share: z.number().optional(), reason: z.string().optional() }).readonly(),
  })
  .readonly();

/** Status of a node; members unknown here are kept. */
export const NodeStatus = z
  .looseObject({
    node: z
      .looseObject({
        id: z.string(),
        failureDomain: z.string(),
        region: z.string(),
        state: z.string(),
      })
      .readonly(),
    log: z
      .looseObject({
        reachable: z.boolean(),
        lagMs: z.number().nullable(),
        newestTicket: z.number(),
      })
      .readonly(),
    members: z.array(Member).readonly(),
    runners: z.array(Runner).readonly(),
    moves: z.array(Move).readonly(),
    requests: z.record(z.string(), z.number()).readonly(),
    /** Refused calls of callers by cause. */
    refusals: z.record(z.string(), z.number()).readonly(),
  })
  .readonly();
export type NodeStatus = z.infer<typeof NodeStatus>;
