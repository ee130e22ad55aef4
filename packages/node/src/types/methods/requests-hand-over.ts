import * as z from 'zod';
import { KeyTransfer } from '@ragwortrudder/claims';
import { RequestCopy } from '@ragwortrudder/requests';
import type { RpcMethod } from '../rpc-method.ts';

const Params = z.strictObject({ copy: RequestCopy, transfer: KeyTransfer.optional() }).readonly();
const Result = z.strictObject({ taken: z.boolean() }).readonly();

/** Transfers ownership of a request to the called node. The call is idempotent. */
export const requestsHandOver: RpcMethod<z.infer<typeof Params>, z.infer<typeof Result>> = {
  name: 'requests.handOver',
  params: Params,
  result: Result,
};
