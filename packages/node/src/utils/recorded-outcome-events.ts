import type { EventBody, RequestEvent } from '@ragwortrudder/requests';

const EPOCH = 1;

/** Builds the event stream for a request whose outcome was recorded earlier. */
export function recordedOutcomeEvents(
  key: string,
  outcomeKind: 'completed' | 'failed' | 'not-run',
  result: unknown,
): readonly RequestEvent[] {
  const accepted: EventBody = { type: 'accepted', id: key };
  const bodies: readonly EventBody[] =
    outcomeKind === 'completed'
      ? [accepted, { type: 'result', result }, { type: 'done', tokens: 0 }]
      : [accepted, failedBody(outcomeKind)];
  return bodies.map((body, index) => ({ epoch: EPOCH, number: index + 1, body }));
}

function failedBody(outcomeKind: 'failed' | 'not-run'): EventBody {
  const notRun = outcomeKind === 'not-run';
  const title = notRun
    ? 'the request under this key was not run'
    : 'the operation under this key failed';
  return {
    type: 'failed',
    outcome: { code: `operation-${outcomeKind}`, title, retryable: notRun, notRun },
  };
}
