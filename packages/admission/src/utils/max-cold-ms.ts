/** Longest cold period that nodes report to each other, in milliseconds. */
export const MAX_COLD_MS = 86_400_000;
