/**
 * Kinds of requests that callers send: `order` may run at most once, `read` may be repeated, `draft`
 * is a stream that may run at most once, and `ask` is a stream that may resume on another runner.
 */
export type RequestKind = 'order' | 'read' | 'draft' | 'ask';
