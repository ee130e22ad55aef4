import type { LinkFailure } from '@ragwortrudder/routing';
import type { ResponseHead } from './response-head.ts';
import type { ResponseTransfer } from './response-transfer.ts';
import type { RunnerResponse } from './runner-response.ts';

/** Result of one attempt to send a request to a runner. */
export type AttemptOutcome =
  /** The complete response was buffered. */
  | {
      readonly kind: 'answered';
      readonly response: RunnerResponse;
      readonly transfer: ResponseTransfer;
    }
  /** The response was streamed to the caller to its end. */
  | { readonly kind: 'relayed'; readonly transfer: ResponseTransfer }
  /** The runner declared that it did not execute the request. */
  | { readonly kind: 'refused'; readonly isMisdirected: boolean; readonly head: ResponseHead }
  /** No connection could be opened, so nothing was sent. */
  | { readonly kind: 'unsent'; readonly failure: LinkFailure }
  /**
   * The runner closed the connection early, sent an invalid response or stopped sending; the
   * request may have been executed.
   */
  | {
      readonly kind: 'broken';
      readonly reason: string;
      /** The connection ended, as it does when the runner crashes. */
      readonly isConnectionLost: boolean;
      /** Set when the head of a response had arrived. */
      readonly transfer?: ResponseTransfer;
    }
  /** The caller disconnected, or the deadline passed. */
  | { readonly kind: 'ended' };
