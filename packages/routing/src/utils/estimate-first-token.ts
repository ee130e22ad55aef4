import type { FirstTokenEstimate } from '../types/first-token-estimate.ts';
import type { RoutingRequest } from '../types/routing-request.ts';
import type { RunnerView } from '../types/runner-view.ts';
import { reportWeight } from './report-weight.ts';

/** Prompt tokens assumed for a waiting request that another node sent. */
const ASSUMED_PROMPT_TOKENS = 256;
/** Time constant, in milliseconds, of the decay of reported waiting prompts. */
const REPORT_DECAY_MS = 2000;
const MS_PER_S = 1000;

/**
 * Prompt tokens ahead of a new request. Prompts from this node count until their first token, since
 * a report counts a prompt that is being computed as running. Prompts from other nodes count while
 * the report shows them as waiting.
 */
function tokensAhead(runner: RunnerView): number {
  const { load, loadAgeMs, unreported, inFlight } = runner;
  if (!load) return inFlight.prefillTokens;
  const ownReported = inFlight.requests - unreported.requests;
  const fromOtherNodes = Math.max(0, load.running + load.waiting - ownReported);
  const waitingFromOtherNodes = Math.min(fromOtherNodes, load.waiting);
  const weight = reportWeight(loadAgeMs, REPORT_DECAY_MS);
  return inFlight.prefillTokens + weight * waitingFromOtherNodes * ASSUMED_PROMPT_TOKENS;
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
