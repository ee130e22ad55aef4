import { Failure } from '@ragwortrudder/core';

/** A peer offered records that end before the follower's state. */
export class PrefixOlder extends Failure {
  readonly code = 'prefix-older';

  constructor(own: number, offered: number) {
    super(`the peer's records end at offset ${offered}, this node is at ${own}`, {
      status: 409,
      hint: 'the peer is behind; nothing was taken',
    });
  }
}
