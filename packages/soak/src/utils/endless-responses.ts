import type { EndlessBytes } from '../types/endless-bytes.ts';
import { chunkOf } from './chunk-of.ts';
import { ENDLESS_BLOCKS as BLOCKS } from './endless-blocks.ts';

interface ResponseOptions {
  /** Header lines of the response, each with its line end. */
  readonly headers: string;
  readonly contentType: string;
}

const HUGE_LENGTH = 1_000_000_000_000;
const CHUNKED = 'Transfer-Encoding: chunked\r\n';

function headOf({ headers, contentType }: ResponseOptions, framing = ''): string {
  return `HTTP/1.1 200 OK\r\n${headers}Content-Type: ${contentType}\r\n${framing}\r\n`;
}

/** Responses that never end, by their names. */
export const ENDLESS_RESPONSES: Readonly<
  Record<string, (options: ResponseOptions) => EndlessBytes>
> = {
  head: ({ headers }) => ({ head: `HTTP/1.1 200 OK\r\n${headers}`, block: BLOCKS.headerLines }),
  header: ({ headers }) => ({
    head: `HTTP/1.1 200 OK\r\n${headers}X-Filler: `,
    block: BLOCKS.text,
  }),
  length: (options) => ({
    head: headOf(options, `Content-Length: ${HUGE_LENGTH}\r\n`),
    block: BLOCKS.text,
  }),
  chunks: (options) => ({ head: headOf(options, CHUNKED), block: BLOCKS.chunks }),
  'small-chunks': (options) => ({ head: headOf(options, CHUNKED), block: BLOCKS.smallChunks }),
  'small-lines': (options) => ({ head: headOf(options, CHUNKED), block: BLOCKS.smallLines }),
  'chunk-digits': (options) => ({ head: headOf(options, CHUNKED), block: BLOCKS.digits }),
  'chunk-extension': (options) => ({
    head: `${headOf(options, CHUNKED)}1;a=`,
    block: BLOCKS.text,
  }),
  trailers: (options) => ({
    head: `${headOf(options, CHUNKED)}${chunkOf('x')}0\r\n`,
    block: BLOCKS.headerLines,
  }),
  'until-close': (options) => ({ head: headOf(options), block: BLOCKS.text }),
  'blank-lines': () => ({ head: '', block: BLOCKS.blankLines }),
  interim: () => ({ head: '', block: BLOCKS.interim }),
};
