import type { ClientObserver } from './client-observer.ts';

/** A request to submit. */
export interface ClientRequest {
  readonly service: string;
  /** Request body as defined by the HTTP API for callers. */
  readonly body: Readonly<Record<string, unknown>>;
  /** Idempotency key; required by services that are not idempotent. */
  readonly idempotencyKey?: string;
  /**
   * Time in milliseconds for which the client retries after refusals and lost connections.
   * @default 60000
   */
  readonly patienceMs?: number;
  /** Receives the connection events of the request. */
  readonly observer?: ClientObserver;
}
