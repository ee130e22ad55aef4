import { ProbeMessage, ProbeReply } from '@ragwortrudder/membership';
import type { RpcMethod } from '../rpc-method.ts';

/** Probes a node and exchanges membership changes with it. */
export const membershipProbe: RpcMethod<ProbeMessage, ProbeReply> = {
  name: 'membership.probe',
  params: ProbeMessage,
  result: ProbeReply,
};
