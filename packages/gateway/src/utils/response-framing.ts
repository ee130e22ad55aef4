import type { ResponseTransfer } from '../types/response-transfer.ts';
import { hasBody } from './has-body.ts';

interface FramingInputs {
  readonly method: string;
  readonly status: number;
  readonly transferEncoding: string | undefined;
  readonly contentLength: string | undefined;
}

/** Returns what marks the end of a response's body (RFC 9112, section 6.3). */
export function responseFraming({
  method,
  status,
  transferEncoding,
  contentLength,
}: FramingInputs): ResponseTransfer['framing'] {
  if (!hasBody(method, status)) return 'length';
  if (transferEncoding !== undefined) {
    return /(?:^|,)\s*chunked\s*$/i.test(transferEncoding) ? 'chunked' : 'connection';
  }
  return contentLength === undefined ? 'connection' : 'length';
}
