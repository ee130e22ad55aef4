/** Time in which callers want their answers, in milliseconds. */
export const DEADLINE_MS = 4_000;
