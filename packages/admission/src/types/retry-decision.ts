/** Whether a failed attempt is repeated. */
export type RetryDecision =
  | { readonly retry: true; readonly delayMs: number; readonly retriesLeft: number }
  | {
      readonly retry: false;
      readonly reason: 'budget' | 'layers' | 'not-idempotent' | 'deadline';
    };
