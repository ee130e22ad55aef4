import * as z from 'zod';
import { Prefix } from '@ragwortrudder/log';
import type { RpcMethod } from '../rpc-method.ts';

const Params = z
  .strictObject({
    from: z.number().int().nonnegative(),
    limit: z.number().int().min(1).max(10_000),
  })
  .readonly();

/** Reads a peer's prefix of the stream of tickets. */
export const logPrefix: RpcMethod<z.infer<typeof Params>, Prefix> = {
  name: 'log.prefix',
  params: Params,
  result: Prefix,
};
