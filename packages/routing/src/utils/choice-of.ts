import type { RoutingChoice } from '../types/routing-choice.ts';
import type { RoutingOptions } from '../types/routing-options.ts';
import type { RunnerView } from '../types/runner-view.ts';
import { estimateFirstToken } from './estimate-first-token.ts';

/** Completes the choice of `runner` with its estimate. */
export function choiceOf(
  runner: RunnerView | undefined,
  options: RoutingOptions,
  compared: number,
): RoutingChoice | undefined {
  if (!runner) return undefined;
  const cached = options.cache?.cachedTokens(runner.id, options.request.blocks) ?? 0;
  return { runner, estimate: estimateFirstToken(runner, options.request, cached), compared };
}
