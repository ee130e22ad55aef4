import type { FirstTokenEstimate } from '../types/first-token-estimate.ts';
import type { RoutingRequest } from '../types/routing-request.ts';
import type { RunnerView } from '../types/runner-view.ts';
import { reportWeight } from './report-weight.ts';

/** Prompt tokens assumed for a request that another node sent and that waits at the runner. */
const WAITING_TOKENS = 256;
/** Time constant with which a report of waiting prompts loses its value. */
const REPORT_DECAY_MS = 2000;
const MS_PER_S = 1000;

/**
 * Prompt tokens ahead of a new request: this node's own until their first token, since a report
 * counts a prompt that is being computed as running, and those of others that wait, by the report.
 */
function tokensAhead(runner: RunnerView): number {
  const { load, loadAgeMs, unreported, inFlight } = runner;
  if (!load) return inFlight.prefillTokens;
  const ownReported = inFlight.requests - unreported.requests;
  const others = Math.max(0, load.running + load.waiting - ownReported);
  const waitingOthers = Math.min(others, load.waiting);
  const weight = reportWeight(loadAgeMs, REPORT_DECAY_MS);
  return inFlight.prefillTokens + weight * waitingOthers * WAITING_TOKENS;
}

/** Estimates the time to the first token of `request` on `runner`. */
export function estimateFirstToken(
  runner: RunnerView,
  request: RoutingRequest,
  expectedCachedTokens = 0,
): FirstTokenEstimate {
  const cachedTokens = Math.min(expectedCachedTokens, request.promptTokens);
  const computedTokens = request.promptTokens - cachedTokens;
  const msPerToken = MS_PER_S / Math.max(1, runner.prefillRate);
  const isBusy = (runner.load?.running ?? 0) > 0 || runner.inFlight.requests > 0;
  const queueMs = tokensAhead(runner) * msPerToken + (isBusy ? runner.decodeStepMs : 0);
  const prefillMs = computedTokens * msPerToken;
  const { networkMs } = runner;
  const totalMs = queueMs + prefillMs + networkMs;
  return { queueMs, prefillMs, networkMs, totalMs, cachedTokens, computedTokens };
}
