import type { AnswerTiming } from '../types/answer-timing.ts';
import { percentile } from './percentile.ts';

interface OverloadRun {
  readonly answers: readonly AnswerTiming[];
  readonly deadlineMs: number;
  readonly durationMs: number;
}

const MS_PER_S = 1000;

/** Summarizes a run under overload as the values of one result row. */
export function overloadValues(run: OverloadRun): Readonly<Record<string, number>> {
  const { answers, deadlineMs, durationMs } = run;
  const answersOf = (tenant: string): readonly AnswerTiming[] =>
    answers.filter(({ request }) => request.tenant === tenant);
  const batch = answersOf('batch');
  const interactive = answers.filter(({ request }) => request.tenant !== 'batch');
  const inTime = answers.filter(
    ({ request, outcome, elapsedMs }) =>
      outcome === 'done' && (request.tenant === 'batch' || elapsedMs <= deadlineMs),
  );
  const refused = interactive.filter(({ outcome }) => outcome === 'refused');
  const quiet = answersOf('quiet');
  const quietFirstTokenMs = quiet.map(({ outcome, firstMs }) =>
    outcome === 'done' ? firstMs : Infinity,
  );
  return {
    offered: answers.length,
    goodput: (inTime.length * MS_PER_S) / durationMs,
    late: interactive.filter(
      ({ outcome, elapsedMs }) => outcome === 'done' && elapsedMs > deadlineMs,
    ).length,
    failed: answers.filter(({ outcome }) => outcome === 'failed').length,
    refused: refused.length,
    refusedP50: percentile(
      refused.map(({ elapsedMs }) => elapsedMs),
      0.5,
    ),
    refusedP99: percentile(
      refused.map(({ elapsedMs }) => elapsedMs),
      0.99,
    ),
    retryAfter: refused.filter(({ hasRetryAfter }) => hasRetryAfter).length / refused.length,
    quietDone: quiet.filter(({ outcome }) => outcome === 'done').length / quiet.length,
    quietP50: percentile(quietFirstTokenMs, 0.5),
    quietP95: percentile(quietFirstTokenMs, 0.95),
    batchDone: batch.filter(({ outcome }) => outcome === 'done').length / batch.length,
  };
}
