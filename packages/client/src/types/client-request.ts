import type { ClientObserver } from './client-observer.ts';

/** A request to submit. */
export interface ClientRequest {
  readonly service: string;
  /** Body as the interface for callers describes it. */
  readonly body: Readonly<Record<string, unknown>>;
  /** Idempotency key; needed by services that are not idempotent. */
  readonly idempotencyKey?: string;
  /**
   * Time in milliseconds for which the client tries again after refusals and lost connections.
   * @default 60000
   */
  readonly patienceMs?: number;
  /** Told of each connection made and lost. */
  readonly observer?: ClientObserver;
}
