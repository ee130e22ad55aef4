/** Number of statements about cold runners that a message may have; nodes send at most half as many. */
export const MAX_COLD_STATEMENTS = 128;
