/** Number of tokens in one prefix block. */
export const BLOCK_TOKENS = 16;
