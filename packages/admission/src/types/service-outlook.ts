import type { FirstTokenEstimate } from './first-token-estimate.ts';

/** What a node knows about the runners of a service when it decides about a request. */
export interface ServiceOutlook {
  /** Number of runners that can take requests. */
  readonly runners: number;
  readonly estimate: FirstTokenEstimate;
  /** Estimate for a prompt of this length, without cached tokens, that arrives after the request was sent. */
  readonly estimateAfter: (promptTokens: number) => FirstTokenEstimate | undefined;
  /** Slots of all runners, requests in them, and whether requests are waiting for a slot. */
  readonly occupancy: () => {
    readonly slots: number;
    readonly inFlight: number;
    readonly hasWaiting: boolean;
  };
}
