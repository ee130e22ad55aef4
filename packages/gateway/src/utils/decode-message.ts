import { inflateRawSync } from 'node:zlib';
import { parseBoundedJson } from '@ragwortrudder/core';
import { COMPACT_MARK } from './compact-mark.ts';

/** Bound of a message, in bytes; without compression it is that of a datagram. */
const MAX_MESSAGE_BYTES = 256 * 1024;

/** Decodes a message of a peer; undefined when it cannot be read. */
export function decodeMessage(bytes: Buffer): unknown {
  if (bytes[0] !== COMPACT_MARK[0]) return parseBoundedJson(bytes);
  try {
    const compressed = bytes.subarray(COMPACT_MARK.length);
    return parseBoundedJson(inflateRawSync(compressed, { maxOutputLength: MAX_MESSAGE_BYTES }));
  } catch {
    // The receiver logs a message that is not readable, whatever the reason.
    return undefined;
  }
}
