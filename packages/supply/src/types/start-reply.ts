/** Reply of the cloud API to a start request; `lost` when none arrived. */
export type StartReply =
  | { readonly kind: 'started'; readonly vmId: string }
  | { readonly kind: 'refused' }
  | { readonly kind: 'throttled'; readonly retryAfterMs: number }
  | { readonly kind: 'lost' };
