import type { Failure } from '@ragwortrudder/core';

/** Receives the connection events of a request, for logs and measurements. */
export interface ClientObserver {
  /** Called before each connection attempt; `isResume` is true if it continues an accepted request. */
  connecting(node: string, isResume: boolean): void;
  /** Called when a connection fails. */
  failed(node: string, failure: Failure): void;
}
