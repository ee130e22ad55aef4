import type { Closeable } from '@ragwortrudder/core';

/** Runner that a host process serves. */
export interface Runner extends Closeable {
  readonly id: string;
  readonly address: string;
  listen(): Promise<void>;
  /** Stops accepting connections and waits up to `graceMs` for open calls to finish. */
  drain(graceMs: number): Promise<void>;
  setFault(body: unknown): Promise<void>;
}
