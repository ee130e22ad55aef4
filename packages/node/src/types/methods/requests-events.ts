import * as z from 'zod';
import { RequestEvent } from '@ragwortrudder/requests';
import type { RpcMethod } from '../rpc-method.ts';

const Params = z
  .strictObject({
    id: z.string(),
    tenant: z.string(),
    after: z
      .strictObject({ epoch: z.number().int(), number: z.number().int().nonnegative() })
      .readonly(),
    waitMs: z.number().int().nonnegative(),
  })
  .readonly();

const Result = z.discriminatedUnion('state', [
  z
    .strictObject({
      state: z.literal('here'),
      events: z.array(RequestEvent).readonly(),
      finished: z.boolean(),
    })
    .readonly(),
  z.strictObject({ state: z.literal('moved'), nodeId: z.string() }).readonly(),
  z.strictObject({ state: z.literal('absent') }).readonly(),
  z.strictObject({ state: z.literal('diverged') }).readonly(),
  z.strictObject({ state: z.literal('forbidden') }).readonly(),
  /** The node holds a replica and takes the request over after its owner has failed. */
  z.strictObject({ state: z.literal('replica') }).readonly(),
]);

/**
 * Reads the committed events of a request after a position; waits up to `waitMs` for the first one.
 */
export const requestsEvents: RpcMethod<z.infer<typeof Params>, z.infer<typeof Result>> = {
  name: 'requests.events',
  params: Params,
  result: Result,
};
