import * as z from 'zod';
import { RequestEvent, RequestInput } from '@ragwortrudder/requests';
import type { RpcMethod } from '../rpc-method.ts';
import { RefusalData } from '../refusal-data.ts';

const Params = z
  .strictObject({
    tenant: z.string(),
    service: z.string(),
    class: z.string(),
    deadline: z.number(),
    key: z.string(),
    input: RequestInput,
    forwarded: z.literal(true),
  })
  .readonly();
const Result = z.discriminatedUnion('state', [
  z.strictObject({ state: z.literal('accepted'), id: z.string() }).readonly(),
  z
    .strictObject({ state: z.literal('answered'), events: z.array(RequestEvent).readonly() })
    .readonly(),
  z.strictObject({ state: z.literal('refused'), refusal: RefusalData }).readonly(),
]);

/**
 * Forwards a request with an idempotency key to the node that may run it. The call is idempotent.
 */
export const requestsSubmit: RpcMethod<z.infer<typeof Params>, z.infer<typeof Result>> = {
  name: 'requests.submit',
  params: Params,
  result: Result,
};
