import type { HedgeOptions } from '../types/hedge-options.ts';

/**
 * Decides whether a second attempt is sent beside one that is slow: only for idempotent requests,
 * only past the learned delay, and inside the retry budget, which it spends.
 */
export function decideHedge(options: HedgeOptions): boolean {
  const { key, idempotent, retriesLeft, waitedMs, delay, budget, now } = options;
  if (!idempotent || retriesLeft <= 0) return false;
  if (delay.delayMs === undefined || waitedMs < delay.delayMs) return false;
  return budget.trySpend(key, now);
}
