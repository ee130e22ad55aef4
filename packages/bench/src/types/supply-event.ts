import type { Price } from '@ragwortrudder/standins';

/** Platform event at a given time of a supply experiment. */
export type SupplyEvent = { readonly atMs: number } & (
  | { readonly kind: 'prices'; readonly prices: readonly Price[] }
  | { readonly kind: 'wave'; readonly failureDomain: string }
  | { readonly kind: 'refuse'; readonly failureDomain: string; readonly forMs: number }
  | { readonly kind: 'reply-lost'; readonly count: number }
  | { readonly kind: 'outage'; readonly forMs: number }
  | { readonly kind: 'kill-holder' }
);
