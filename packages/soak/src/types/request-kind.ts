/**
 * What callers send: `order` may run once at most, `read` may be repeated, `draft` is a stream that
 * may run once at most, `ask` is a stream that may go on at another runner.
 */
export type RequestKind = 'order' | 'read' | 'draft' | 'ask';
