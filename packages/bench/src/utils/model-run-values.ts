import type { EngineStats } from '@ragwortrudder/standins';
import type { AnswerTiming } from '../types/answer-timing.ts';
import { percentile } from './percentile.ts';
import { fractionWithin } from './fraction-within.ts';

interface ModelRun {
  readonly answers: readonly AnswerTiming[];
  readonly stats: readonly EngineStats[];
  readonly durationMs: number;
  /** Price of all runners per hour. */
  readonly pricePerHour: number;
  /** Prefill tokens per second of one otherwise idle engine. */
  readonly prefillRate: number;
}

const FIRST_TOKEN_TARGET_MS = 530;
const TOKEN_GAP_TARGET_MS = 42;
const MS_PER_HOUR = 3_600_000;
const MS_PER_S = 1000;
const THOUSAND = 1000;

function isWithinTarget({ outcome, firstMs, gapsMs }: AnswerTiming): boolean {
  const meanGapMs = gapsMs.reduce((sum, gap) => sum + gap, 0) / Math.max(1, gapsMs.length);
  return outcome === 'done' && firstMs <= FIRST_TOKEN_TARGET_MS && meanGapMs <= TOKEN_GAP_TARGET_MS;
}

function sumOf(
  stats: readonly EngineStats[],
  name: 'prefillTokens' | 'reusedTokens' | 'recomputedTokens',
): number {
  return stats.reduce((sum, engine) => sum + engine[name], 0);
}

function firstTokenMs({ outcome, firstMs }: AnswerTiming): number {
  return outcome === 'done' ? firstMs : Infinity;
}

/** Summarizes a run on model engines as the values of one result row. */
export function modelRunValues(options: ModelRun): Readonly<Record<string, number>> {
  const { answers, stats, durationMs, pricePerHour, prefillRate } = options;
  const done = answers.filter(({ outcome }) => outcome === 'done');
  const firstTokenTimes = answers.map(firstTokenMs);
  const firstTokenTimesOf = (service: string, requestClass = 'interactive'): readonly number[] =>
    answers
      .filter(({ request }) => request.service === service && request.body.class === requestClass)
      .map(firstTokenMs);
  const gaps = done.flatMap(({ gapsMs }) => gapsMs);
  const answersWithinTarget = answers.filter(isWithinTarget);
  const tokens = answersWithinTarget.reduce((sum, answer) => sum + answer.tokens, 0);
  const prefill = sumOf(stats, 'prefillTokens');
  const capacity = (stats.length * prefillRate * durationMs) / MS_PER_S;
  return {
    requests: answers.length,
    done: done.length,
    firstP50: percentile(firstTokenTimes, 0.5),
    firstP95: percentile(firstTokenTimes, 0.95),
    firstP99: percentile(firstTokenTimes, 0.99),
    firstWithin: fractionWithin(firstTokenTimes, FIRST_TOKEN_TARGET_MS),
    quotesP95: percentile(firstTokenTimesOf('quotes'), 0.95),
    questionsP95: percentile(firstTokenTimesOf('reconciliation', 'interactive'), 0.95),
    reconciliationsP95: percentile(firstTokenTimesOf('reconciliation', 'batch'), 0.95),
    gapP50: percentile(gaps, 0.5),
    gapP95: percentile(gaps, 0.95),
    gapP99: percentile(gaps, 0.99),
    gapWithin: fractionWithin(gaps, TOKEN_GAP_TARGET_MS),
    computed: prefill,
    reused: sumOf(stats, 'reusedTokens'),
    recomputed: sumOf(stats, 'recomputedTokens'),
    prefillLoad: prefill / capacity,
    answersWithin: answersWithinTarget.length / answers.length,
    costPer1000: (pricePerHour * (durationMs / MS_PER_HOUR) * THOUSAND) / tokens,
  };
}
