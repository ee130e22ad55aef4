import type { ConnectionState, ResponseFraming } from '@ragwortrudder/core';

/** How the body of a runner's response arrived. */
export interface ResponseTransfer {
  readonly framing: ResponseFraming;
  /** Received bytes of the body. */
  readonly bytes: number;
  /** State of the connection when the body ended. */
  readonly connection: ConnectionState;
  /** Bytes received after the last complete event; undefined for a buffered body. */
  readonly partialEventBytes: number | undefined;
}
