/** Part of a request's duration that is measured. */
export type Stage = 'first_token' | 'between_tokens' | 'queue_wait' | 'total';
