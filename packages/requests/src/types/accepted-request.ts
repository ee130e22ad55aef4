import * as z from 'zod';
import { RequestInput } from './request-input.ts';

/** A request that a node has accepted and is responsible for finishing. */
export const AcceptedRequest = z
  .strictObject({
    id: z.string().min(1),
    tenant: z.string().min(1),
    service: z.string().min(1),
    class: z.string().min(1),
    /** Wall-clock time in milliseconds after which the answer is no longer useful. */
    deadline: z.number(),
    /** Wall-clock time of acceptance in milliseconds. */
    acceptedAt: z.number(),
    idempotent: z.boolean(),
    /** Idempotency key; present for every request that is not idempotent. */
    key: z.string().optional(),
    /** How the executor is determined from the key: by a claim in the log, or by the key itself. */
    keyKind: z.enum(['claimed', 'issued']).optional(),
    input: RequestInput,
  })
  .readonly();
export type AcceptedRequest = z.infer<typeof AcceptedRequest>;
