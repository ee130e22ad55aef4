import * as z from 'zod';
import { RequestCopy } from './request-copy.ts';
import { RequestEvent } from './request-event.ts';

const id = z.string().min(1);
const epoch = z.number().int().min(1);

/** An update that an owner sends to the replica of a request. */
export const ReplicaUpdate = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('put'), copy: RequestCopy }).readonly(),
  z
    .strictObject({
      kind: z.literal('append'),
      id,
      epoch,
      events: z.array(RequestEvent).readonly(),
    })
    .readonly(),
  z.strictObject({ kind: z.literal('release'), id, epoch }).readonly(),
]);
export type ReplicaUpdate = z.infer<typeof ReplicaUpdate>;
