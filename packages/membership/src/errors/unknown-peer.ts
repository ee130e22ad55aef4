import { Failure } from '@ragwortrudder/core';

/** A probe was to be passed on to an address that belongs to no member. */
export class UnknownPeer extends Failure {
  readonly code = 'unknown-peer';

  constructor(address: string) {
    super(`no member has the peer address ${address}`, {
      status: 404,
      hint: 'the sender and this node know different members; they converge with the next synchronization',
    });
  }
}
