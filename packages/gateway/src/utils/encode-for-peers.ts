import type { Address } from '@ragwortrudder/catalog';
import type { Peer } from '../types/peer.ts';
import { encodeMessage } from './encode-message.ts';

interface EncodedMessage {
  readonly bytes: Buffer;
  readonly addresses: readonly Address[];
}

/** Encodes a message for peers, some of which may be of a build that reads no compressed ones. */
export function encodeForPeers(
  peers: readonly (readonly [string, Peer])[],
  message: { readonly method: string; readonly params: object },
): readonly EncodedMessage[] {
  return [true, false].flatMap((mayCompress) => {
    const receivers = peers.filter(([, { readsCompressed }]) => readsCompressed === mayCompress);
    if (receivers.length === 0) return [];
    const bytes = encodeMessage({ ...message, mayCompress });
    return [{ bytes, addresses: receivers.map(([, { address }]) => address) }];
  });
}
