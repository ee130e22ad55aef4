import type { AnswerTiming } from '../types/answer-timing.ts';
import { percentile } from './percentile.ts';

interface HerdRun {
  readonly answers: readonly AnswerTiming[];
  readonly slowRunner: string;
}

const WINDOW_MS = 100;
/** Windows with fewer requests say nothing about shares. */
const MIN_REQUESTS = 8;

function countsBy<K>(keys: readonly K[]): ReadonlyMap<K, number> {
  const counts = new Map<K, number>();
  for (const key of keys) counts.set(key, (counts.get(key) ?? 0) + 1);
  return counts;
}

/** Largest share of the requests of each window that one runner got. */
function windowShares(answers: readonly AnswerTiming[]): readonly number[] {
  const windowOf = ({ request }: AnswerTiming): number => Math.floor(request.atMs / WINDOW_MS);
  const windows = new Set(answers.map(windowOf));
  return [...windows].flatMap((window) => {
    const runners = answers.filter((answer) => windowOf(answer) === window);
    if (runners.length < MIN_REQUESTS) return [];
    const counts = countsBy(runners.map(({ runner }) => runner));
    return [Math.max(...counts.values()) / runners.length];
  });
}

/** Summary of a run on application runners, one of them slow. */
export function herdValues({ answers, slowRunner }: HerdRun): Readonly<Record<string, number>> {
  const done = answers.filter(({ outcome }) => outcome === 'done');
  const times = answers.map(({ outcome, firstMs }) => (outcome === 'done' ? firstMs : Infinity));
  const shares = windowShares(done);
  return {
    requests: answers.length,
    done: done.length,
    p50: percentile(times, 0.5),
    p95: percentile(times, 0.95),
    p99: percentile(times, 0.99),
    slowShare: done.filter(({ runner }) => runner === slowRunner).length / done.length,
    windows: shares.length,
    herdMedian: percentile(shares, 0.5),
    herdLargest: Math.max(...shares),
  };
}
