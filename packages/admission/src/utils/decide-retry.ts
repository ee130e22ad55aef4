import type { RetryDecision } from '../types/retry-decision.ts';
import type { RetryOptions } from '../types/retry-options.ts';

const DEFAULT_BASE_DELAY_MS = 50;
const DEFAULT_MAX_DELAY_MS = 2000;

/** Random delay between 0 and an exponentially growing bound (full jitter). */
function jitteredDelay(options: RetryOptions): number {
  const { request, random } = options;
  const { baseDelayMs = DEFAULT_BASE_DELAY_MS, maxDelayMs = DEFAULT_MAX_DELAY_MS } = options;
  const bound = baseDelayMs * 2 ** Math.max(0, request.attempts - 1);
  return Math.min(maxDelayMs, bound) * random.next();
}

/**
 * Decides whether to retry a failed attempt. A request that is not idempotent is retried only when
 * it is proven not to have run. The budget is spent only when the retry is allowed.
 */
export function decideRetry(options: RetryOptions): RetryDecision {
  const { request, budget, now } = options;
  if (!request.idempotent && !request.notRun) return { retry: false, reason: 'not-idempotent' };
  if (request.retriesLeft <= 0) return { retry: false, reason: 'layers' };
  const delayMs = jitteredDelay(options);
  if (now + delayMs >= request.deadlineAt) return { retry: false, reason: 'deadline' };
  if (!budget.trySpend(request.key, now)) return { retry: false, reason: 'budget' };
  return { retry: true, delayMs, retriesLeft: request.retriesLeft - 1 };
}
