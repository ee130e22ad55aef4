import { Failure } from '@ragwortrudder/core';

/** An indirect probe was requested for an address that belongs to no member. */
export class UnknownPeer extends Failure {
  readonly code = 'unknown-peer';

  constructor(address: string) {
    super(`no member has the peer address ${address}`, {
      status: 404,
      hint: 'the requester and this node have different member lists; the next synchronization makes them converge',
    });
  }
}
