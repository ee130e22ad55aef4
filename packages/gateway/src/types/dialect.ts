import type { AnswerHead } from './answer-head.ts';
import type { CallerRequest } from './caller-request.ts';
import type { RequestHead } from './request-head.ts';
import type { RunnerOrder } from './runner-order.ts';

/** Translates between the headers of a platform's HTTP protocol and typed requests and responses. */
export interface Dialect {
  /** Parses a caller's request; throws `RequestInvalid`. */
  readRequest(head: RequestHead, body: Uint8Array | undefined): CallerRequest;
  /** Headers of the request to a runner, as alternating names and values. */
  runnerHeaders(request: CallerRequest, metadata: RunnerOrder): readonly string[];
  /** Parses the head of a runner's response. */
  readAnswer(status: number, rawHeaders: readonly string[]): AnswerHead;
  /** Headers of a response that the node itself produces, by name. */
  ownHeaders(
    requestId: string | undefined,
    retryAfterMs: number | undefined,
  ): ReadonlyMap<string, string>;
}
