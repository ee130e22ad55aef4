import type { KvExport } from '../types/kv-export.ts';
import type { ReclaimChoice } from '../types/reclaim-choice.ts';
import type { ReclaimOptions } from '../types/reclaim-options.ts';
import type { RunnerView } from '../types/runner-view.ts';
import { chooseRunner } from './choose-runner.ts';
import { estimateFirstToken } from './estimate-first-token.ts';
import { smallest } from './smallest.ts';
import { eligibleRunners } from './eligible-runners.ts';

const MS_PER_S = 1000;
/** Part of the remaining time that an action may be expected to take. */
const SAFETY = 0.7;
/** Cost in milliseconds of one millisecond of prompt computation that holds up other requests. */
const RECOMPUTE_WEIGHT = 1;

interface Option {
  readonly choice: ReclaimChoice;
  readonly costMs: number;
}

/** Time until the request is finished where it is. */
function finishMs({ source, request, remainingTokens }: ReclaimOptions): number {
  const hasStarted = source.inFlight.prefillTokens === 0 || request.promptTokens === 0;
  const waitMs = hasStarted ? 0 : estimateFirstToken(source, request).queueMs;
  return waitMs + remainingTokens * source.decodeStepMs;
}

function transferMs({ tokens, tokensPerSecond, overheadMs }: KvExport): number {
  return overheadMs + (tokens * MS_PER_S) / Math.max(1, tokensPerSecond);
}

/** Moves the KV cache to the target with the shortest queue. */
function moveOption(options: ReclaimOptions, kvExport: KvExport): Option | undefined {
  const copyMs = transferMs(kvExport);
  if (copyMs > options.remainingMs * SAFETY) return undefined;
  const waitMs = (runner: RunnerView): number => {
    const estimate = estimateFirstToken(runner, options.request);
    return estimate.queueMs + estimate.networkMs;
  };
  const targets = eligibleRunners(options).filter(({ id }) => id !== options.source.id);
  const target = smallest(targets, waitMs, options.random);
  if (!target) return undefined;
  const tailTokens = Math.max(0, options.request.promptTokens - kvExport.tokens);
  const tailMs = (tailTokens * MS_PER_S) / Math.max(1, target.prefillRate);
  const interruptionMs = copyMs + waitMs(target) + tailMs;
  const choice: ReclaimChoice = {
    action: 'move-kv',
    target,
    interruptionMs,
    recomputedTokens: tailTokens,
  };
  return { choice, costMs: interruptionMs + RECOMPUTE_WEIGHT * tailMs };
}

/** Computes prompt and generated tokens again on the runner that routing would choose. */
function recomputeOption(options: ReclaimOptions): Option | undefined {
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
 * Chooses how a request on a leaving endpoint is finished: in place when there is time, otherwise
 * by the cheaper of moving its KV cache and computing its tokens again. With nowhere to go it
 * stays in place as long as the VM lives.
 */
export function reclaimChoice(options: ReclaimOptions): ReclaimChoice {
  const stay: ReclaimChoice = { action: 'finish', interruptionMs: 0, recomputedTokens: 0 };
  if (finishMs(options) <= options.remainingMs * SAFETY) return stay;
  const move = options.kvExport && moveOption(options, options.kvExport);
  const recompute = recomputeOption(options);
  const ways = [move, recompute].filter((way) => way !== undefined);
  return smallest(ways, ({ costMs }) => costMs, options.random)?.choice ?? stay;
}
