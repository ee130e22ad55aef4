/** Caller that an API key identifies. */
export type Caller =
  | { readonly kind: 'tenant'; readonly tenant: string }
  | { readonly kind: 'operator'; readonly name: string };
