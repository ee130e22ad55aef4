/** Distinguishes keys of whole requests from prompt parts. */
export const REPEAT_KEY_PREFIX = 'request:';
