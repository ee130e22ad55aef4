/**
 * What may be repeated: an `idempotent` request may run again, a `non-idempotent` one runs at most
 * once, and a `stream` is answered by numbered events and runs once unless its route is resumable.
 */
export type RequestKind = 'idempotent' | 'non-idempotent' | 'stream';
