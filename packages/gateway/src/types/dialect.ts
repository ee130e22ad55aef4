import type { AnswerHead } from './answer-head.ts';
import type { CallerRequest } from './caller-request.ts';
import type { RequestHead } from './request-head.ts';
import type { RunnerOrder } from './runner-order.ts';

/** Translates between header names on the wire and typed requests and answers. */
export interface Dialect {
  /** Reads a caller's request; throws `RequestInvalid`. */
  readRequest(head: RequestHead, body: Uint8Array | undefined): CallerRequest;
  /** Headers of the request to a runner, names and values in turn. */
  runnerHeaders(request: CallerRequest, order: RunnerOrder): readonly string[];
  /** Reads the head of a runner's answer. */
  readAnswer(status: number, rawHeaders: readonly string[]): AnswerHead;
  /** Headers of an answer of the node's own, by name. */
  ownHeaders(
    requestId: string | undefined,
    retryAfterMs: number | undefined,
  ): ReadonlyMap<string, string>;
}
