/** Tokens in one block of a prefix. */
export const BLOCK_TOKENS = 16;
