import type { AnswerTiming } from '../types/answer-timing.ts';
import { percentile } from './percentile.ts';

interface HerdingRun {
  readonly answers: readonly AnswerTiming[];
  readonly slowRunner: string;
}

const WINDOW_MS = 100;
/** Windows with fewer requests are skipped: their shares are too coarse to indicate herding. */
const MIN_REQUESTS = 8;

function countOccurrences<K>(keys: readonly K[]): ReadonlyMap<K, number> {
  const counts = new Map<K, number>();
  for (const key of keys) counts.set(key, (counts.get(key) ?? 0) + 1);
  return counts;
}

/** Returns, for each time window, the largest share of requests that went to a single runner. */
function maxRunnerShares(answers: readonly AnswerTiming[]): readonly number[] {
  const windowOf = ({ request }: AnswerTiming): number => Math.floor(request.atMs / WINDOW_MS);
  const windows = new Set(answers.map(windowOf));
  return [...windows].flatMap((window) => {
    const answersInWindow = answers.filter((answer) => windowOf(answer) === window);
    if (answersInWindow.length < MIN_REQUESTS) return [];
    const counts = countOccurrences(answersInWindow.map(({ runner }) => runner));
    return [Math.max(...counts.values()) / answersInWindow.length];
  });
}

/** Summarizes a run on application runners, one of them slow, as the values of one result row. */
export function herdingValues({
  answers,
  slowRunner,
}: HerdingRun): Readonly<Record<string, number>> {
  const done = answers.filter(({ outcome }) => outcome === 'done');
  const firstResultMs = answers.map(({ outcome, firstMs }) =>
    outcome === 'done' ? firstMs : Infinity,
  );
  const shares = maxRunnerShares(done);
  return {
    requests: answers.length,
    done: done.length,
    p50: percentile(firstResultMs, 0.5),
    p95: percentile(firstResultMs, 0.95),
    p99: percentile(firstResultMs, 0.99),
    slowShare: done.filter(({ runner }) => runner === slowRunner).length / done.length,
    windows: shares.length,
    herdMedian: percentile(shares, 0.5),
    herdLargest: Math.max(...shares),
  };
}
