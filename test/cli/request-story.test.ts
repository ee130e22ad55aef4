import test from 'ava';
import { requestStory } from '../../packages/cli/src/utils/request-story.ts';

function line(time: number, node: string, event: string, fields: object): string {
  return JSON.stringify({ time, node, event, ...fields });
}

test('the lines of a request over several nodes come in order, with what was noted of its runners', (t) => {
  const story = requestStory('q1', [
    line(5_000, 'n2', 'request-refused', { request: 'q1', cause: 'runner-full' }),
    line(2_000, 'n1', 'attempt-ended', { request: 'q1', runner: 'r1', outcome: 'broken' }),
    line(1_000, 'n1', 'runner-unreachable', { runner: 'r1', reason: 'silent' }),
    line(1_000, 'n2', 'runner-unreachable', { runner: 'r9' }),
    line(3_000, 'n1', 'request-served', { request: 'q2', runner: 'r1' }),
    'Listening',
    '{"broken',
  ]);
  t.deepEqual(story, [
    '1970-01-01T00:00:01.000Z n1 runner-unreachable runner=r1 reason=silent',
    '1970-01-01T00:00:02.000Z n1 attempt-ended runner=r1 outcome=broken',
    '1970-01-01T00:00:05.000Z n2 request-refused cause=runner-full',
  ]);
});

test('a request that no line names has no story', (t) => {
  t.deepEqual(requestStory('q1', ['', line(1, 'n', 'started', {})]), []);
});
