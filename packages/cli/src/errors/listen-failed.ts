import { Failure } from '@ragwortrudder/core';

/** The node cannot listen on an address from its settings. */
export class ListenFailed extends Failure {
  readonly code = 'listen-failed';

  constructor(cause: unknown) {
    super(`the node cannot listen: ${cause instanceof Error ? cause.message : String(cause)}`, {
      cause,
      hint: 'check listen.callers and listen.peers in the settings, and that the ports are free',
    });
  }
}
