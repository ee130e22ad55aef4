import type { EventBody, RequestEvent } from '@ragwortrudder/requests';

const EPOCH = 1;

/** Events that answer a request whose outcome was recorded earlier. */
export function answeredEvents(
  key: string,
  word: 'completed' | 'failed' | 'not-run',
  result: unknown,
): readonly RequestEvent[] {
  const accepted: EventBody = { type: 'accepted', id: key };
  const bodies: readonly EventBody[] =
    word === 'completed'
      ? [accepted, { type: 'result', result }, { type: 'done', tokens: 0 }]
      : [accepted, failedBody(word)];
  return bodies.map((body, index) => ({ epoch: EPOCH, number: index + 1, body }));
}

function failedBody(word: 'failed' | 'not-run'): EventBody {
  const notRun = word === 'not-run';
  const title = notRun
    ? 'the request under this key was not run'
    : 'the operation under this key failed';
  return {
    type: 'failed',
    outcome: { code: `operation-${word}`, title, retryable: notRun, notRun },
  };
}
