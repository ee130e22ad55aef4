import * as z from 'zod';

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

const Lease = z
  .looseObject({
    job: z.string(),
    holder: z.string().nullable(),
    fence: z.number().nullable(),
    endsInMs: z.number().nullable(),
  })
  .readonly();

const Supply = z
  .looseObject({
    service: z.string(),
    state: z.string(),
    wantedRunners: z.number(),
    heldVms: z.number(),
    pendingStarts: z.number(),
    returningVms: z.number(),
    refusedKinds: z.number(),
    protectedRunners: z.number(),
  })
  .readonly();

/** Status of a node; unknown properties are preserved. */
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
    leases: z.array(Lease).readonly().default([]),
    /** Supply state of the services whose lease this node holds. */
    supply: z.array(Supply).readonly().default([]),
    requests: z.record(z.string(), z.number()).readonly(),
    /** Number of refused calls from callers, by cause. */
    refusals: z.record(z.string(), z.number()).readonly(),
  })
  .readonly();
export type NodeStatus = z.infer<typeof NodeStatus>;
