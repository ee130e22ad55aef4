import type { RequestEvent } from '@ragwortrudder/requests';

interface KeyOutcome {
  readonly word: 'completed' | 'failed' | 'not-run' | 'unknown' | 'pending';
  readonly result?: unknown;
}

/** Outcome of a non-idempotent request under a key, derived from its events. */
export function keyOutcomeOf(events: readonly RequestEvent[]): KeyOutcome {
  const last = events.at(-1)?.body;
  if (last?.type === 'done') {
    const result = events.find(({ body }) => body.type === 'result')?.body;
    return result?.type === 'result'
      ? { word: 'completed', result: result.result }
      : { word: 'completed' };
  }
  if (last?.type !== 'failed') return { word: 'pending' };
  if (last.outcome.notRun) return { word: 'not-run' };
  return { word: last.outcome.code === 'outcome-unknown' ? 'unknown' : 'failed' };
}
