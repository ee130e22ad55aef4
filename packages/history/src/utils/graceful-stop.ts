import type { CheckerOptions } from '../types/checker-options.ts';
import type { EventOf } from '../types/event-of.ts';
import type { History } from '../types/history.ts';
import type { Violation } from '../types/violation.ts';
import { eventsOf } from './events-of.ts';
import { finalAnswer } from './final-answer.ts';
import { groupBy } from './group-by.ts';

const PROMISE = 'graceful-stop';

type Answer = EventOf<'answer'>;
type Stop = EventOf<'stop'>;

function isServedBy(
  target: string,
  answers: readonly Answer[],
  runs: readonly EventOf<'run'>[],
): boolean {
  if (answers.some(({ node }) => node === target)) return true;
  const ids = new Set(answers.map(({ requestId }) => requestId));
  const names = new Set(answers.map(({ invocation }) => invocation));
  return runs.some(
    ({ runner, requestId, invocation }) =>
      runner === target && (ids.has(requestId) || names.has(invocation ?? '')),
  );
}

function isInterrupted(stop: Stop, answers: readonly Answer[], reconnectAllowed: boolean): boolean {
  const last = finalAnswer(answers);
  if (last?.word !== 'completed' && last?.word !== 'failed') return true;
  if (reconnectAllowed) return false;
  return answers.some(
    ({ event, node, at }) => event === 'cut' && node === stop.target && at >= stop.at,
  );
}

/**
 * Checks that a request in progress on a process when its planned stop begins still receives its
 * complete response.
 */
export function gracefulStop(history: History, options: CheckerOptions = {}): readonly Violation[] {
  const reconnectAllowed = options.reconnectAllowed ?? true;
  const runs = eventsOf(history, 'run');
  const invocations = groupBy(eventsOf(history, 'answer'), ({ invocation }) => invocation);
  const stops = eventsOf(history, 'stop').filter((stop) => stop.planned && stop.phase === 'start');
  return stops.flatMap((stop) => {
    const runsBefore = runs.filter(({ at }) => at <= stop.at);
    return [...invocations].flatMap(([name, answers]) => {
      const before = answers.filter(({ at }) => at <= stop.at);
      const isInProgress = before.length > 0 && !finalAnswer(before);
      if (!isInProgress || !isServedBy(stop.target, before, runsBefore)) return [];
      if (!isInterrupted(stop, answers, reconnectAllowed)) return [];
      const message = `${name} was cut off by the planned stop of ${stop.target}`;
      return [{ promise: PROMISE, message, events: [stop, ...answers.slice(-1)] }];
    });
  });
}
