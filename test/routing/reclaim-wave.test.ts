/** Simulation in one process of the choice made for every request of a reclaimed failure domain. */
import test from 'ava';
import { SeededRandom } from '@ragwortrudder/core';
import { reclaimChoice } from '@ragwortrudder/routing';
import type { KvExport, ReclaimAction, ReclaimChoice, RunnerView } from '@ragwortrudder/routing';
import { runnerView } from './runner-view.ts';

const SEED = 47;
const REQUESTS = 200;
const TARGETS = 4;
/** Remaining tokens with which no request can end in time. */
const TOO_MANY_TO_FINISH = 1e9;

type Way = ReclaimAction | 'by-cost';

interface Wave {
  readonly remainingMs: number;
  readonly kvTokensPerSecond: number;
}

interface Outcome {
  readonly lost: number;
  readonly recomputed: number;
  readonly meanInterruptionMs: number;
}

/** Runs one wave; targets grow their queues as requests arrive. */
function run(way: Way, wave: Wave): Outcome {
  const random = new SeededRandom(SEED);
  const queued = new Map<string, number>();
  let lost = 0;
  let recomputed = 0;
  let interruption = 0;
  for (let i = 0; i < REQUESTS; i += 1) {
    const promptTokens = 200 + Math.floor(random.next() ** 2 * 12_000);
    const remainingTokens = 10 + Math.floor(random.next() ** 2 * 2000);
    const candidates = Array.from({ length: TARGETS }, (_, n): RunnerView => {
      const id = `t${n}`;
      const work = { requests: 1, prefillTokens: queued.get(id) ?? 0 };
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
      way === 'finish'
        ? { action: 'finish', interruptionMs: 0, recomputedTokens: 0 }
        : reclaimChoice({
            ...options,
            remainingTokens: way === 'by-cost' ? remainingTokens : TOO_MANY_TO_FINISH,
            ...(way === 'recompute' ? {} : { kvExport }),
          });
    if (choice.action === 'finish' && finishMs > wave.remainingMs) lost += 1;
    recomputed += choice.recomputedTokens;
    interruption += choice.interruptionMs;
    const target = choice.target?.id;
    if (target) queued.set(target, (queued.get(target) ?? 0) + choice.recomputedTokens);
  }
  return {
    lost,
    recomputed: Math.round(recomputed),
    meanInterruptionMs: Math.round(interruption / REQUESTS),
  };
}

const WAVES: readonly Wave[] = [
  { remainingMs: 2000, kvTokensPerSecond: 200_000 },
  { remainingMs: 2000, kvTokensPerSecond: 5000 },
  { remainingMs: 20_000, kvTokensPerSecond: 200_000 },
  { remainingMs: 20_000, kvTokensPerSecond: 5000 },
];

for (const wave of WAVES) {
  test(`notice ${wave.remainingMs} ms, KV cache at ${wave.kvTokensPerSecond} tokens a second`, (t) => {
    const ways: readonly Way[] = ['finish', 'recompute', 'move-kv', 'by-cost'];
    const outcomes = new Map(ways.map((way) => [way, run(way, wave)]));
    for (const [way, outcome] of outcomes) {
      t.log(`| ${way} | ${outcome.lost} | ${outcome.recomputed} | ${outcome.meanInterruptionMs} |`);
    }
    const byCost = outcomes.get('by-cost');
    const recompute = outcomes.get('recompute');
    t.is(byCost?.lost, 0);
    t.true((byCost?.recomputed ?? Infinity) < (recompute?.recomputed ?? 0));
    t.true((byCost?.meanInterruptionMs ?? Infinity) < (recompute?.meanInterruptionMs ?? 0));
  });
}
