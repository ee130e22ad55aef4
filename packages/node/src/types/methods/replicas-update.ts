import * as z from 'zod';
import { ReplicaUpdate, ReplicaVerdict } from '@ragwortrudder/requests';
import type { RpcMethod } from '../rpc-method.ts';

const Params = z.strictObject({ updates: z.array(ReplicaUpdate).readonly() }).readonly();
const Result = z.strictObject({ verdicts: z.array(ReplicaVerdict).readonly() }).readonly();

/** Applies an owner's updates, in order, to the replicas that the called node holds. */
export const replicasUpdate: RpcMethod<z.infer<typeof Params>, z.infer<typeof Result>> = {
  name: 'replicas.update',
  params: Params,
  result: Result,
};
