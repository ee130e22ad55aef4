import test from 'ava';
import { requestTimeline } from '../../packages/cli/src/utils/request-timeline.ts';

function logLine(time: number, node: string, event: string, fields: object): string {
  return JSON.stringify({ time, node, event, ...fields });
}

test('lists the events of a request from several nodes in order, with the events of its runners', (t) => {
  const timeline = requestTimeline('q1', [
    logLine(5_000, 'n2', 'request-refused', { request: 'q1', cause: 'runner-full' }),
    logLine(2_000, 'n1', 'attempt-ended', { request: 'q1', runner: 'r1', outcome: 'broken' }),
    logLine(1_000, 'n1', 'runner-unreachable', { runner: 'r1', reason: 'silent' }),
    logLine(1_000, 'n2', 'runner-unreachable', { runner: 'r9' }),
    logLine(3_000, 'n1', 'request-served', { request: 'q2', runner: 'r1' }),
    'Listening',
    '{"broken',
  ]);
  t.deepEqual(timeline, [
    '1970-01-01T00:00:01.000Z n1 runner-unreachable runner=r1 reason=silent',
    '1970-01-01T00:00:02.000Z n1 attempt-ended runner=r1 outcome=broken',
    '1970-01-01T00:00:05.000Z n2 request-refused cause=runner-full',
  ]);
});

test('the timeline of a request without log lines is empty', (t) => {
  t.deepEqual(requestTimeline('q1', ['', logLine(1, 'n', 'started', {})]), []);
});
