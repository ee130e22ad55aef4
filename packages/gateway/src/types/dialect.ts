import type { Failure } from '@ragwortrudder/core';
import type { ResponseHead } from './response-head.ts';
import type { CallerRequest } from './caller-request.ts';
import type { RequestHead } from './request-head.ts';
import type { ForwardingMetadata } from './forwarding-metadata.ts';

/** Translates between the headers of a platform's HTTP protocol and typed requests and responses. */
export interface Dialect<Request extends CallerRequest = CallerRequest> {
  /** Parses a caller's request; throws `RequestInvalid`. */
  parseRequest(head: RequestHead, body: Uint8Array | undefined): Request;
  /** Headers of the request to a runner, as alternating names and values. */
  runnerHeaders(request: CallerRequest, metadata: ForwardingMetadata): readonly string[];
  /** Parses the head of a runner's response. */
  parseResponseHead(status: number, rawHeaders: readonly string[]): ResponseHead;
  /** Headers of a response that the node itself produces, by name. */
  errorHeaders(requestId: string | undefined, failure: Failure): ReadonlyMap<string, string>;
}
