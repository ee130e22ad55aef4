import { IndirectProbe, ProbeReply } from '@ragwortrudder/membership';
import type { RpcMethod } from '../rpc-method.ts';

/** Asks a node to probe a third node (indirect probe). */
export const membershipProbeThrough: RpcMethod<IndirectProbe, ProbeReply> = {
  name: 'membership.probeThrough',
  params: IndirectProbe,
  result: ProbeReply,
};
