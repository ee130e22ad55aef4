/** Reply of an engine to an order, or the lack of one. */
export type OrderReply =
  | { readonly kind: 'done' }
  | { readonly kind: 'old-fence' }
  | { readonly kind: 'throttled'; readonly retryAfterMs: number }
  | { readonly kind: 'failed' };
