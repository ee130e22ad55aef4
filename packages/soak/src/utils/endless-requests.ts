import type { EndlessBytes } from '../types/endless-bytes.ts';
import { chunkOf } from './chunk-of.ts';
import { DEADLINE_MS } from './deadline-ms.ts';
import { ENDLESS_BLOCKS as BLOCKS } from './endless-blocks.ts';

interface RequestOptions {
  readonly id: string;
  readonly apiKey: string;
}

const HUGE_LENGTH = 1_000_000_000_000;
const CHUNKED = 'Transfer-Encoding: chunked\r\n';

function requestHeadOf({ id, apiKey }: RequestOptions): string {
  const names = `Host: soak.example\r\nRequest-Id: ${id}\r\nX-Api-Key: ${apiKey}\r\n`;
  return `POST /order/x HTTP/1.1\r\n${names}Deadline-Ms: ${DEADLINE_MS}\r\n`;
}

function chunkedHeadOf(options: RequestOptions): string {
  return `${requestHeadOf(options)}${CHUNKED}\r\n`;
}

const REQUESTS: Readonly<Record<string, (options: RequestOptions) => EndlessBytes>> = {
  'small-chunks': (options) => ({ head: chunkedHeadOf(options), block: BLOCKS.smallChunks }),
  chunks: (options) => ({ head: chunkedHeadOf(options), block: BLOCKS.chunks }),
  'chunk-digits': (options) => ({ head: chunkedHeadOf(options), block: BLOCKS.digits }),
  'chunk-extension': (options) => ({
    head: `${chunkedHeadOf(options)}1;a=`,
    block: BLOCKS.text,
  }),
  trailers: (options) => ({
    head: `${chunkedHeadOf(options)}${chunkOf('x')}0\r\n`,
    block: BLOCKS.headerLines,
  }),
  length: (options) => ({
    head: `${requestHeadOf(options)}Content-Length: ${HUGE_LENGTH}\r\n\r\n`,
    block: BLOCKS.text,
  }),
  head: (options) => ({ head: requestHeadOf(options), block: BLOCKS.headerLines }),
  'blank-lines': () => ({ head: '', block: BLOCKS.blankLines }),
};

/** Requests that never end, by their names: with the key of a team, and with one that nobody has. */
export const ENDLESS_REQUESTS: typeof REQUESTS = Object.fromEntries(
  Object.entries(REQUESTS).flatMap(([name, bytesOf]) => [
    [name, bytesOf],
    [`${name}, unknown key`, (options) => bytesOf({ ...options, apiKey: 'unknown' })],
  ]),
);
