/** What an application runner's response, or the lack of one, proves about an operation. */
export type OperationOutcome =
  | { readonly kind: 'completed'; readonly result: unknown }
  | { readonly kind: 'refused'; readonly status: number; readonly reason: string }
  | { readonly kind: 'not-run'; readonly reason: string }
  | { readonly kind: 'failed'; readonly reason: string }
  | { readonly kind: 'unknown'; readonly reason: string };
