/** Reply of an engine to an order; `failed` also stands for no reply. */
export type OrderReply =
  | { readonly kind: 'done' }
  | { readonly kind: 'old-fence' }
  | { readonly kind: 'throttled'; readonly retryAfterMs: number }
  | { readonly kind: 'failed' };
