import type { RequestKind } from './request-kind.ts';

/** Request as its caller sent it. */
export interface SentRequest {
  readonly id: string;
  readonly kind: RequestKind;
  readonly node: string;
  readonly team: string;
  readonly body: string;
  /** Events that a stream has. */
  readonly events: number;
  readonly at: number;
}
