/** Further bytes of framing for each byte of the body. */
const BYTES_PER_BODY_BYTE = 1;

interface ReceivedBytes {
  /** Bytes besides those of its body that any such message may have: heads, and small chunks. */
  readonly baseBytes: number;
  /** Bytes of the connection since the message was awaited. */
  readonly wireBytes: number;
  readonly bodyBytes: number;
}

/**
 * Whether more of a message is framing than a sound sender needs: heads, sizes and extensions of chunks,
 * trailers, blank lines and interim responses cost time to read, and no limit on bodies counts them.
 */
export function exceedsFramingLimit({ baseBytes, wireBytes, bodyBytes }: ReceivedBytes): boolean {
  return wireBytes - bodyBytes > baseBytes + BYTES_PER_BODY_BYTE * bodyBytes;
}
