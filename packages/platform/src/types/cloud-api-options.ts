import type { PlatformClientOptions } from './platform-client-options.ts';

/** Options of the cloud API client. */
export interface CloudApiOptions extends PlatformClientOptions {
  /**
   * Number of times that a VM whose start reply was lost is looked up before the start fails.
   * @default 3
   */
  readonly lookups?: number;
  /**
   * Delay between these lookups in milliseconds.
   * @default 200
   */
  readonly lookupDelayMs?: number;
}
