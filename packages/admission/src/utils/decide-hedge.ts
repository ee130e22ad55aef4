import type { HedgeOptions } from '../types/hedge-options.ts';

/**
 * Decides whether to send a second attempt while the first is slow: only for idempotent requests,
 * only after the learned delay, and only within the retry budget, from which a hedge is deducted.
 */
export function decideHedge(options: HedgeOptions): boolean {
  const { key, idempotent, retriesLeft, waitedMs, delay, budget, now } = options;
  if (!idempotent || retriesLeft <= 0) return false;
  if (delay.delayMs === undefined || waitedMs < delay.delayMs) return false;
  return budget.trySpend(key, now);
}
