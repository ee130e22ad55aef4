import { Failure } from '@ragwortrudder/core';

/** A peer sent records that end before the follower's state. */
export class PrefixOlder extends Failure {
  readonly code = 'prefix-older';

  constructor(current: number, received: number) {
    super(`the peer's records end at offset ${received}, but this node is at offset ${current}`, {
      status: 409,
      hint: 'the peer is behind this node; nothing was applied',
    });
  }
}
