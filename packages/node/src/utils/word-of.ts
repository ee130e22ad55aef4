import type { RequestEvent } from '@ragwortrudder/requests';

interface Word {
  readonly word: 'completed' | 'failed' | 'not-run' | 'unknown' | 'pending';
  readonly result?: unknown;
}

/** What the events of a non-idempotent request say about its outcome. */
export function wordOf(events: readonly RequestEvent[]): Word {
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
