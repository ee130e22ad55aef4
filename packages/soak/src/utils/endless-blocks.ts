import { chunkOf } from './chunk-of.ts';

const BLOCK_BYTES = 16 * 1024;
const FILLER = 'x'.repeat(1_000);

/** Repeats a text as often as a block holds it. */
function blockOf(text: string): Buffer {
  return Buffer.from(text.repeat(Math.max(1, Math.floor(BLOCK_BYTES / text.length))));
}

/** Blocks that are repeated without end. */
export const ENDLESS_BLOCKS = {
  headerLines: blockOf(`X-Filler: ${FILLER}\r\n`),
  text: blockOf('x'),
  digits: blockOf('0'),
  blankLines: blockOf('\r\n'),
  interim: blockOf('HTTP/1.1 102 Processing\r\n\r\n'),
  chunks: Buffer.from(chunkOf('x'.repeat(BLOCK_BYTES))),
  smallChunks: blockOf(chunkOf('x')),
  /** Lines of one event that is never complete. */
  smallLines: blockOf(Array.from('data: x\n', chunkOf).join('')),
};
