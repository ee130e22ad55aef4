import type { EngineStats } from '@ragwortrudder/standins';
import type { AnswerTiming } from '../types/answer-timing.ts';
import { percentile } from './percentile.ts';
import { shareWithin } from './share-within.ts';

interface RunOptions {
  readonly answers: readonly AnswerTiming[];
  readonly stats: readonly EngineStats[];
  readonly durationMs: number;
  /** Price of all runners for an hour. */
  readonly pricePerHour: number;
  /** Tokens of prefill a second of one idle engine. */
  readonly prefillRate: number;
}

const FIRST_TARGET_MS = 530;
const GAP_TARGET_MS = 42;
const MS_PER_HOUR = 3_600_000;
const MS_PER_S = 1000;
const THOUSAND = 1000;

function isWithinTarget({ outcome, firstMs, gapsMs }: AnswerTiming): boolean {
  const meanGapMs = gapsMs.reduce((sum, gap) => sum + gap, 0) / Math.max(1, gapsMs.length);
  return outcome === 'done' && firstMs <= FIRST_TARGET_MS && meanGapMs <= GAP_TARGET_MS;
}

function sumOf(
  stats: readonly EngineStats[],
  name: 'prefillTokens' | 'reusedTokens' | 'recomputedTokens',
): number {
  return stats.reduce((sum, one) => sum + one[name], 0);
}

function firstOf({ outcome, firstMs }: AnswerTiming): number {
  return outcome === 'done' ? firstMs : Infinity;
}

/** Summary of a run on model engines. */
export function runValues(options: RunOptions): Readonly<Record<string, number>> {
  const { answers, stats, durationMs, pricePerHour, prefillRate } = options;
  const done = answers.filter(({ outcome }) => outcome === 'done');
  const firsts = answers.map(firstOf);
  const firstsOf = (service: string, route = 'interactive'): readonly number[] =>
    answers
      .filter(({ request }) => request.service === service && request.body.class === route)
      .map(firstOf);
  const gaps = done.flatMap(({ gapsMs }) => gapsMs);
  const within = answers.filter(isWithinTarget);
  const tokens = within.reduce((sum, answer) => sum + answer.tokens, 0);
  const prefill = sumOf(stats, 'prefillTokens');
  const capacity = (stats.length * prefillRate * durationMs) / MS_PER_S;
  return {
    requests: answers.length,
    done: done.length,
    firstP50: percentile(firsts, 0.5),
    firstP95: percentile(firsts, 0.95),
    firstP99: percentile(firsts, 0.99),
    firstWithin: shareWithin(firsts, FIRST_TARGET_MS),
    quotesP95: percentile(firstsOf('quotes'), 0.95),
    questionsP95: percentile(firstsOf('reconciliation', 'interactive'), 0.95),
    reconciliationsP95: percentile(firstsOf('reconciliation', 'batch'), 0.95),
    gapP50: percentile(gaps, 0.5),
    gapP95: percentile(gaps, 0.95),
    gapP99: percentile(gaps, 0.99),
    gapWithin: shareWithin(gaps, GAP_TARGET_MS),
    computed: prefill,
    reused: sumOf(stats, 'reusedTokens'),
    recomputed: sumOf(stats, 'recomputedTokens'),
    prefillLoad: prefill / capacity,
    answersWithin: within.length / answers.length,
    costPer1000: (pricePerHour * (durationMs / MS_PER_HOUR) * THOUSAND) / tokens,
  };
}
