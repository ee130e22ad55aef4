import type { Failure } from '@ragwortrudder/core';

/** Told of each connection of a request, for records and measurements. */
export interface ClientObserver {
  /** A connection is about to be made; `isResume` when it continues an accepted request. */
  connecting(node: string, isResume: boolean): void;
  /** The connection ended with a failure. */
  failed(node: string, failure: Failure): void;
}
