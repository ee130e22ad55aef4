/** Chained hash of an empty stream. */
export const GENESIS_HASH = '0'.repeat(64);
