import * as z from 'zod';
import { RequestInput } from './request-input.ts';

/** A request that a node has accepted and is bound to finish. */
export const AcceptedRequest = z
  .strictObject({
    id: z.string().min(1),
    tenant: z.string().min(1),
    service: z.string().min(1),
    class: z.string().min(1),
    /** Wall-clock time in milliseconds after which the answer has no worth. */
    deadline: z.number(),
    /** Wall-clock time of acceptance in milliseconds. */
    acceptedAt: z.number(),
    idempotent: z.boolean(),
    /** Idempotency key; present for every request that is not idempotent. */
    key: z.string().optional(),
    /** How the key names its executor: by a claim in the log, or in the key itself. */
    keyKind: z.enum(['claimed', 'issued']).optional(),
    input: RequestInput,
  })
  .readonly();
export type AcceptedRequest = z.infer<typeof AcceptedRequest>;
