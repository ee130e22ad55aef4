/** Bytes besides those of a body that any message may have: its head, and the framing of small chunks. */
const BASE_BYTES = 1024 * 1024;
/** Further bytes of framing for each byte of the body. */
const BYTES_PER_BODY_BYTE = 1;

interface ReceivedBytes {
  /** Bytes of the connection since the message was awaited. */
  readonly wireBytes: number;
  readonly bodyBytes: number;
}

/**
 * Whether more of a message is framing than a sound sender needs: heads, sizes and extensions of chunks,
 * trailers, blank lines and interim responses cost time to read, and no limit on bodies counts them.
 */
export function exceedsFramingLimit({ wireBytes, bodyBytes }: ReceivedBytes): boolean {
  return wireBytes - bodyBytes > BASE_BYTES + BYTES_PER_BODY_BYTE * bodyBytes;
}
