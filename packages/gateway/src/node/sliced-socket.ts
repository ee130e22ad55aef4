import { Socket } from 'node:net';

/** Bytes that are handled together; a read has up to eight times as many. */
const SLICE_BYTES = 8 * 1024;

/**
 * Hands out the bytes of a read in slices, so that a connection which is held back after the first of
 * them has cost no more than that.
 */
export class SlicedSocket extends Socket {
  override push(bytes: unknown, encoding?: BufferEncoding): boolean {
    if (!Buffer.isBuffer(bytes) || bytes.length <= SLICE_BYTES) return super.push(bytes, encoding);
    let hasRoom = true;
    for (let start = 0; start < bytes.length; start += SLICE_BYTES) {
      hasRoom = super.push(bytes.subarray(start, start + SLICE_BYTES));
    }
    return hasRoom;
  }
}
