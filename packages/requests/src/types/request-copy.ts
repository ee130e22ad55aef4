import * as z from 'zod';
import { AcceptedRequest } from './accepted-request.ts';
import { Owner } from './owner.ts';
import { RequestEvent } from './request-event.ts';

/** Replicated state of a request: everything that a replica needs to take over from its owner. */
export const RequestCopy = z
  .strictObject({
    request: AcceptedRequest,
    owner: Owner,
    epoch: z.number().int().min(1),
    events: z.array(RequestEvent).readonly(),
  })
  .readonly();
export type RequestCopy = z.infer<typeof RequestCopy>;
