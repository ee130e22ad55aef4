/** Decision whether a failed attempt is retried. */
export type RetryDecision =
  | { readonly retry: true; readonly delayMs: number; readonly retriesLeft: number }
  | {
      readonly retry: false;
      readonly reason: 'budget' | 'layers' | 'not-idempotent' | 'deadline';
    };
