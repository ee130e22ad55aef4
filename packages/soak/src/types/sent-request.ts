import type { RequestKind } from './request-kind.ts';

/** A request as sent by its caller. */
export interface SentRequest {
  readonly id: string;
  readonly kind: RequestKind;
  readonly node: string;
  readonly team: string;
  readonly body: string;
  /** Number of events in the stream; 0 if the request is not a stream. */
  readonly events: number;
  /** Prompt part or path that crashes the runners that run the request. */
  readonly crashes?: string;
  /** Its body arrives in pieces. */
  readonly isSlow?: boolean;
  readonly at: number;
}
