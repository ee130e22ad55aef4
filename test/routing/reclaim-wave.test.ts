/**
 * In-process simulation of the reclaim decisions for all requests of a reclaimed failure domain.
 */
import test from 'ava';
import { SeededRandom } from '@ragwortrudder/core';
import { chooseReclaimAction } from '@ragwortrudder/routing';
import type { KvExport, ReclaimAction, ReclaimChoice, RunnerView } from '@ragwortrudder/routing';
import { runnerView } from './runner-view.ts';

const SEED = 47;
const REQUESTS = 200;
const TARGETS = 4;
/** Number of remaining tokens with which no request can finish in time. */
const TOO_MANY_TO_FINISH = 1e9;

type Strategy = ReclaimAction | 'by-cost';

interface Wave {
  readonly remainingMs: number;
  readonly kvTokensPerSecond: number;
}

interface WaveResult {
  readonly lost: number;
  readonly recomputed: number;
  readonly meanInterruptionMs: number;
}

/** Simulates one wave; the queues of the targets grow as requests are moved to them. */
function simulateWave(strategy: Strategy, wave: Wave): WaveResult {
  const random = new SeededRandom(SEED);
  const queuedTokens = new Map<string, number>();
  let lost = 0;
  let recomputed = 0;
  let totalInterruptionMs = 0;
  for (let i = 0; i < REQUESTS; i += 1) {
    const promptTokens = 200 + Math.floor(random.next() ** 2 * 12_000);
    const remainingTokens = 10 + Math.floor(random.next() ** 2 * 2000);
    const candidates = Array.from({ length: TARGETS }, (_, n): RunnerView => {
      const id = `t${n}`;
      const work = { requests: 1, prefillTokens: queuedTokens.get(id) ?? 0 };
      return runnerView(id, { unreported: work, inFlight: work });
    });
    const source = runnerView('source', { state: 'leaving', leaving: true });
    const request = { id: String(i), service: 'quotes', blocks: [], promptTokens };
    const kvExport: KvExport = {
      tokens: promptTokens,
      tokensPerSecond: wave.kvTokensPerSecond,
      overheadMs: 30,
    };
    const finishMs = remainingTokens * source.decodeStepMs;
    const options = { ...wave, request, source, candidates, random };
    const choice: ReclaimChoice =
      strategy === 'finish'
        ? { action: 'finish', interruptionMs: 0, recomputedTokens: 0 }
        : chooseReclaimAction({
            ...options,
            remainingTokens: strategy === 'by-cost' ? remainingTokens : TOO_MANY_TO_FINISH,
            ...(strategy === 'recompute' ? {} : { kvExport }),
          });
    if (choice.action === 'finish' && finishMs > wave.remainingMs) lost += 1;
    recomputed += choice.recomputedTokens;
    totalInterruptionMs += choice.interruptionMs;
    const target = choice.target?.id;
    if (target) queuedTokens.set(target, (queuedTokens.get(target) ?? 0) + choice.recomputedTokens);
  }
  return {
    lost,
    recomputed: Math.round(recomputed),
    meanInterruptionMs: Math.round(totalInterruptionMs / REQUESTS),
  };
}

const WAVES: readonly Wave[] = [
  { remainingMs: 2000, kvTokensPerSecond: 200_000 },
  { remainingMs: 2000, kvTokensPerSecond: 5000 },
  { remainingMs: 20_000, kvTokensPerSecond: 200_000 },
  { remainingMs: 20_000, kvTokensPerSecond: 5000 },
];

for (const wave of WAVES) {
  test(`reclaim notice of ${wave.remainingMs} ms, KV cache transfer at ${wave.kvTokensPerSecond} tokens per second`, (t) => {
    const strategies: readonly Strategy[] = ['finish', 'recompute', 'move-kv', 'by-cost'];
    const results = new Map(strategies.map((strategy) => [strategy, simulateWave(strategy, wave)]));
    for (const [strategy, result] of results) {
      t.log(
        `| ${strategy} | ${result.lost} | ${result.recomputed} | ${result.meanInterruptionMs} |`,
      );
    }
    const byCost = results.get('by-cost');
    const recompute = results.get('recompute');
    t.is(byCost?.lost, 0);
    t.true((byCost?.recomputed ?? Infinity) < (recompute?.recomputed ?? 0));
    t.true((byCost?.meanInterruptionMs ?? Infinity) < (recompute?.meanInterruptionMs ?? 0));
  });
}
