import * as z from 'zod';
import { AcceptedRequest } from './accepted-request.ts';
import { Owner } from './owner.ts';
import { RequestEvent } from './request-event.ts';

/** Everything that a replica needs to finish a request in place of its owner. */
export const RequestCopy = z
  .strictObject({
    request: AcceptedRequest,
    owner: Owner,
    epoch: z.number().int().min(1),
    events: z.array(RequestEvent).readonly(),
  })
  .readonly();
export type RequestCopy = z.infer<typeof RequestCopy>;
