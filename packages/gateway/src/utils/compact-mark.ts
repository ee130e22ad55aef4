/** First byte of a compressed message; no JSON text begins with it. */
export const COMPACT_MARK = Buffer.from([0x01]);
