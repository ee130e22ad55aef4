import { Failure } from '@ragwortrudder/core';

/** A peer sent records whose hash chain does not match the follower's. */
export class PrefixFork extends Failure {
  readonly code = 'prefix-fork';

  constructor(offset: number) {
    super(`the peer's records diverge from this node's at offset ${offset}`, {
      status: 409,
      hint: 'compare the hashes of both nodes; the received records were not applied',
    });
  }
}
