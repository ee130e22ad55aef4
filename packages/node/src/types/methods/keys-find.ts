import * as z from 'zod';
import { ExecutionOutcome } from '@ragwortrudder/claims';
import type { RpcMethod } from '../rpc-method.ts';

const Params = z.strictObject({ tenant: z.string(), key: z.string() }).readonly();
const Result = z
  .strictObject({
    /** Id of the request under the key, if this node owns the request or holds its replica. */
    requestId: z.string().optional(),
    word: z.enum([...ExecutionOutcome.options, 'pending', 'unused', 'absent']),
    result: z.unknown().optional(),
  })
  .readonly();

/** Looks an idempotency key up at a node. */
export const keysFind: RpcMethod<z.infer<typeof Params>, z.infer<typeof Result>> = {
  name: 'keys.find',
  params: Params,
  result: Result,
};
