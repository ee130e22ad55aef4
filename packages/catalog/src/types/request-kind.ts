/**
 * Determines whether a request may be retried: an `idempotent` request may run again, a
 * `non-idempotent` one runs at most once, and a `stream` is answered with numbered events and runs
 * once unless its route is resumable.
 */
export type RequestKind = 'idempotent' | 'non-idempotent' | 'stream';
