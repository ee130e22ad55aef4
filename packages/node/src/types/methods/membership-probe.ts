import { ProbeMessage, ProbeReply } from '@ragwortrudder/membership';
import type { RpcMethod } from '../rpc-method.ts';

/** Probes a node and exchanges changes of the membership. */
export const membershipProbe: RpcMethod<ProbeMessage, ProbeReply> = {
  name: 'membership.probe',
  params: ProbeMessage,
  result: ProbeReply,
};
