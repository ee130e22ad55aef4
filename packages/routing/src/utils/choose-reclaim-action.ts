import type { KvExport } from '../types/kv-export.ts';
import type { ReclaimChoice } from '../types/reclaim-choice.ts';
import type { ReclaimOptions } from '../types/reclaim-options.ts';
import type { RunnerView } from '../types/runner-view.ts';
import { chooseRunner } from './choose-runner.ts';
import { estimateFirstToken } from './estimate-first-token.ts';
import { pickLowestCost } from './pick-lowest-cost.ts';
import { eligibleRunners } from './eligible-runners.ts';

const MS_PER_S = 1000;
/** Maximum fraction of the remaining time that an action may be expected to take. */
const TIME_BUDGET_FRACTION = 0.7;
/** Cost in milliseconds of one millisecond of prefill, which delays other requests. */
const RECOMPUTE_WEIGHT = 1;

interface CostedChoice {
  readonly choice: ReclaimChoice;
  readonly costMs: number;
}

/** Expected time until the request finishes on its present runner, in milliseconds. */
function finishMs({ source, request, remainingTokens }: ReclaimOptions): number {
  const hasStarted = source.inFlight.prefillTokens === 0 || request.promptTokens === 0;
  const waitMs = hasStarted ? 0 : estimateFirstToken(source, request).queueMs;
  return waitMs + remainingTokens * source.decodeStepMs;
}

function transferMs({ tokens, tokensPerSecond, overheadMs }: KvExport): number {
  return overheadMs + (tokens * MS_PER_S) / Math.max(1, tokensPerSecond);
}

/** Evaluates moving the KV cache to the runner with the shortest queue. */
function kvMoveChoice(options: ReclaimOptions, kvExport: KvExport): CostedChoice | undefined {
  const kvTransferMs = transferMs(kvExport);
  if (kvTransferMs > options.remainingMs * TIME_BUDGET_FRACTION) return undefined;
  const waitMs = (runner: RunnerView): number => {
    const estimate = estimateFirstToken(runner, options.request);
    return estimate.queueMs + estimate.networkMs;
  };
  const targets = eligibleRunners(options).filter(({ id }) => id !== options.source.id);
  const target = pickLowestCost(targets, waitMs, options.random);
  if (!target) return undefined;
  const uncopiedTokens = Math.max(0, options.request.promptTokens - kvExport.tokens);
  const uncopiedPrefillMs = (uncopiedTokens * MS_PER_S) / Math.max(1, target.prefillRate);
  const interruptionMs = kvTransferMs + waitMs(target) + uncopiedPrefillMs;
  const choice: ReclaimChoice = {
    action: 'move-kv',
    target,
    interruptionMs,
    recomputedTokens: uncopiedTokens,
  };
  return { choice, costMs: interruptionMs + RECOMPUTE_WEIGHT * uncopiedPrefillMs };
}

/** Evaluates recomputing prompt and generated tokens on the runner that routing would choose. */
function recomputeChoice(options: ReclaimOptions): CostedChoice | undefined {
  const avoid = new Set([options.source.id]);
  const chosen = chooseRunner({ ...options, avoid });
  if (!chosen) return undefined;
  const { runner, estimate } = chosen;
  const choice: ReclaimChoice = {
    action: 'recompute',
    target: runner,
    interruptionMs: estimate.totalMs,
    recomputedTokens: estimate.computedTokens,
  };
  return { choice, costMs: estimate.totalMs + RECOMPUTE_WEIGHT * estimate.prefillMs };
}

/**
 * Chooses how to finish a request whose VM has a reclaim notice: in place when there is enough
 * time, otherwise by the cheaper of moving its KV cache and recomputing its tokens. When no other
 * runner is eligible, the request stays in place until the VM is reclaimed.
 */
export function chooseReclaimAction(options: ReclaimOptions): ReclaimChoice {
  const finishInPlace: ReclaimChoice = { action: 'finish', interruptionMs: 0, recomputedTokens: 0 };
  if (finishMs(options) <= options.remainingMs * TIME_BUDGET_FRACTION) return finishInPlace;
  const kvMove = options.kvExport && kvMoveChoice(options, options.kvExport);
  const recompute = recomputeChoice(options);
  const alternatives = [kvMove, recompute].filter((alternative) => alternative !== undefined);
  return (
    pickLowestCost(alternatives, ({ costMs }) => costMs, options.random)?.choice ?? finishInPlace
  );
}
