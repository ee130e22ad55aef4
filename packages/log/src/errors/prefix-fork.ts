import { Failure } from '@ragwortrudder/core';

/** A peer offered records whose hashes do not chain to the follower's state. */
export class PrefixFork extends Failure {
  readonly code = 'prefix-fork';

  constructor(offset: number) {
    super(`the peer's records differ at offset ${offset}`, {
      status: 409,
      hint: 'compare the hashes of both nodes; the records offered were not taken',
    });
  }
}
