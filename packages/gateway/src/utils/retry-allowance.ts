import type { GatewaySettings } from '../types/gateway-settings.ts';

interface RetryAllowance {
  readonly floorPerSecond: number;
  readonly burst: number;
}

/** Part of the slack that is refilled over a window; another part may be saved up, and the rest stays unused. */
const REFILLED_SHARE = 0.45;
const SAVED_SHARE = 0.35;
const MS_PER_S = 1_000;

/** One node's part of the repeats that all nodes together may send beyond their share of the requests. */
export function retryAllowance(
  { slack, windowMs }: GatewaySettings['retries'],
  nodes: number,
): RetryAllowance {
  const own = slack / Math.max(1, nodes);
  return {
    floorPerSecond: (own * REFILLED_SHARE * MS_PER_S) / windowMs,
    burst: Math.max(1, own * SAVED_SHARE),
  };
}
