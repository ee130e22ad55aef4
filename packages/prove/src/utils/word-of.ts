import type { AnswerEvent } from '@ragwortrudder/client';

type Word = 'completed' | 'failed' | 'not-run' | 'unknown';

interface FailedOutcome {
  readonly code: string;
  readonly notRun: boolean;
}

/** Final word that an event says; undefined for events before the last. */
export function wordOf(event: AnswerEvent): Word | undefined {
  if (event.type === 'done') return 'completed';
  if (event.type !== 'failed') return undefined;
  const outcome = event.data.outcome as FailedOutcome;
  if (outcome.notRun) return 'not-run';
  return outcome.code === 'outcome-unknown' ? 'unknown' : 'failed';
}
