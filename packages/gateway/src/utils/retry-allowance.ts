import type { GatewaySettings } from '../types/gateway-settings.ts';

interface RetryAllowance {
  readonly floorPerSecond: number;
  readonly burst: number;
}

/**
 * Fraction of the slack that is refilled over a window. `BURST_SHARE` of it can accumulate, and the
 * rest stays unused as a margin.
 */
const REFILLED_SHARE = 0.45;
const BURST_SHARE = 0.35;
const MS_PER_S = 1_000;

/** Share of one node in the retries that all nodes together may send beyond the retry ratio. */
export function retryAllowance(
  { slack, windowMs }: GatewaySettings['retries'],
  nodes: number,
): RetryAllowance {
  const ownSlack = slack / Math.max(1, nodes);
  return {
    floorPerSecond: (ownSlack * REFILLED_SHARE * MS_PER_S) / windowMs,
    burst: Math.max(1, ownSlack * BURST_SHARE),
  };
}
