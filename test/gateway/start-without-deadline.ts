import type { ExecutionContext } from 'ava';
import { GatewayHarness } from './gateway-harness.ts';

/** Longer than any test may take, in milliseconds. */
const NO_DEADLINE_MS = 600_000;

/**
 * Starts a gateway for a test that is not about deadlines: neither the route's time-out, unless the test
 * sets one, nor the limits of its callers end a request while the process of the test is held up.
 */
export function startWithoutDeadline(
  t: ExecutionContext,
  options: Parameters<typeof GatewayHarness.start>[1] = {},
): Promise<GatewayHarness> {
  return GatewayHarness.start(t, {
    ...options,
    route: { timeout_ms: NO_DEADLINE_MS, ...options.route },
    deadlineMs: NO_DEADLINE_MS,
    headerTimeoutMs: NO_DEADLINE_MS,
  });
}
