import type { Failure } from '@ragwortrudder/core';
import { RequestInvalid } from '../errors/request-invalid.ts';
import type { CallerRequest } from '../types/caller-request.ts';
import type { Dialect } from '../types/dialect.ts';
import type { ForwardingMetadata } from '../types/forwarding-metadata.ts';
import { PassedRequest } from '../types/passed-request.ts';
import type { ReceivedRequest } from '../types/received-request.ts';
import type { RequestHead } from '../types/request-head.ts';
import type { ResponseHead } from '../types/response-head.ts';
import { decodeJson } from './decode-json.ts';

const PASSED_HEADER = 'passed-request';
/** Cause with which a node rejects a request that was passed on to it; it has not been executed. */
const REJECTED_HEADER = 'passed-request-rejected';
const OWN_HEADERS: ReadonlySet<string> = new Set([PASSED_HEADER, REJECTED_HEADER]);
const HTTP_UNAVAILABLE = 503;

function valueOf(headers: readonly string[], name: string): string | undefined {
  const index = headers.findIndex((item, at) => at % 2 === 0 && item.toLowerCase() === name);
  return index < 0 ? undefined : headers[index + 1];
}

function withoutOwn(headers: readonly string[]): readonly string[] {
  return headers.filter((_item, index) => {
    return !OWN_HEADERS.has(headers[index - (index % 2)]?.toLowerCase() ?? '');
  });
}

/** {@link Dialect} between nodes: the platform's protocol, and what the first node has decided. */
export class PassingDialect implements Dialect<ReceivedRequest> {
  readonly #dialect: Dialect;
  /** Set at the node that passes a request on. */
  readonly #passed: PassedRequest | undefined;

  constructor(dialect: Dialect, passed?: PassedRequest) {
    this.#dialect = dialect;
    this.#passed = passed;
  }

  parseRequest(head: RequestHead, body: Uint8Array | undefined): ReceivedRequest {
    const { rawHeaders } = head;
    const text = valueOf(rawHeaders, PASSED_HEADER) ?? '';
    const passed = PassedRequest.safeParse(decodeJson(Buffer.from(text, 'base64'))).data;
    if (!passed) throw new RequestInvalid(`${PASSED_HEADER} header is missing or unreadable`);
    const request = this.#dialect.parseRequest(
      { ...head, rawHeaders: withoutOwn(rawHeaders) },
      body,
    );
    return { ...request, passed };
  }

  runnerHeaders(request: CallerRequest, metadata: ForwardingMetadata): readonly string[] {
    const headers = withoutOwn(this.#dialect.runnerHeaders(request, metadata));
    const value = Buffer.from(JSON.stringify(this.#passed)).toString('base64');
    return [...headers, PASSED_HEADER, value];
  }

  parseResponseHead(status: number, rawHeaders: readonly string[]): ResponseHead {
    const rejection = valueOf(rawHeaders, REJECTED_HEADER);
    const head = this.#dialect.parseResponseHead(status, withoutOwn(rawHeaders));
    // A runner's response that the peer forwards may have the header, too.
    const isRejection = status === HTTP_UNAVAILABLE && head.signature === undefined;
    if (rejection === undefined || !isRejection) return head;
    return { ...head, isNotExecuted: true, rejection };
  }

  errorHeaders(requestId: string | undefined, failure: Failure): ReadonlyMap<string, string> {
    const headers = new Map(this.#dialect.errorHeaders(requestId, failure));
    if (failure.status === HTTP_UNAVAILABLE) headers.set(REJECTED_HEADER, failure.code);
    return headers;
  }
}
