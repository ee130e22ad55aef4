/** Measured part of a request's time. */
export type Stage = 'first_token' | 'between_tokens' | 'queue_wait' | 'total';
