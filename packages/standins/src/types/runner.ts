import type { Closeable } from '@ragwortrudder/core';

/** Runner that a host process serves. */
export interface Runner extends Closeable {
  readonly id: string;
  readonly address: string;
  listen(): Promise<void>;
  /** Stops taking connections and waits for open calls, for at most `graceMs`. */
  drain(graceMs: number): Promise<void>;
  setFault(body: unknown): Promise<void>;
}
