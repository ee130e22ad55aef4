import type { AnswerEvent } from '@ragwortrudder/client';

type Word = 'completed' | 'failed' | 'not-run' | 'unknown';

interface FailedOutcome {
  readonly code: string;
  readonly notRun: boolean;
}

/** Returns the final outcome that an event reports, or undefined if the event is not the last one. */
export function wordOf(event: AnswerEvent): Word | undefined {
  if (event.type === 'done') return 'completed';
  if (event.type !== 'failed') return undefined;
  const outcome = event.data.outcome as FailedOutcome;
  if (outcome.notRun) return 'not-run';
  return outcome.code === 'outcome-unknown' ? 'unknown' : 'failed';
}
