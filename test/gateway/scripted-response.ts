import type { ReceivedRequest } from './scripted-runner.ts';

interface HeadOptions {
  readonly status?: string;
  /** Header lines that frame the body, for example `Content-Length: 4`. */
  readonly framing?: readonly string[];
}

export const SIGNATURE = 'Response-Signature: s.1';

/** Head of a runner's response, by default without framing, so that the connection ends the body. */
export function headFor(
  { id }: ReceivedRequest,
  { status = '200 OK', framing = ['Connection: close'] }: HeadOptions = {},
): string {
  return [`HTTP/1.1 ${status}`, `Request-Id: ${id}`, SIGNATURE, ...framing, '', ''].join('\r\n');
}

/** Head of an event stream; framed in chunks by default. */
export function streamHeadFor(
  request: ReceivedRequest,
  framing: readonly string[] = ['Transfer-Encoding: chunked'],
): string {
  return headFor(request, { framing: ['Content-Type: text/event-stream', ...framing] });
}

/** Complete response with a length. */
export function responseTo(request: ReceivedRequest, body: string): string {
  return `${headFor(request, { framing: [`Content-Length: ${body.length}`] })}${body}`;
}

/** One chunk of a chunked body. */
export function chunk(text: string): string {
  return `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;
}

/** Chunks with one byte each. */
export function tinyChunks(text: string): string {
  return Array.from(text, (byte) => chunk(byte)).join('');
}

/** One event of a stream. */
export function event(id: number): string {
  return `id: ${id}\ndata: piece ${id}\n\n`;
}
