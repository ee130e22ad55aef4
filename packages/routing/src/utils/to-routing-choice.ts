import type { RoutingChoice } from '../types/routing-choice.ts';
import type { RoutingOptions } from '../types/routing-options.ts';
import type { RunnerView } from '../types/runner-view.ts';
import { estimateFirstToken } from './estimate-first-token.ts';

/** Builds the routing choice for `runner` with its first-token estimate. */
export function toRoutingChoice(
  runner: RunnerView | undefined,
  options: RoutingOptions,
  compared: number,
): RoutingChoice | undefined {
  if (!runner) return undefined;
  const cachedTokens = options.cache?.cachedTokens(runner.id, options.request.blocks) ?? 0;
  return { runner, estimate: estimateFirstToken(runner, options.request, cachedTokens), compared };
}
