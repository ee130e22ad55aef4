import type { EventOf } from '../types/event-of.ts';
import type { History } from '../types/history.ts';
import type { Violation } from '../types/violation.ts';
import { eventsOf } from './events-of.ts';

const PROMISE = 'not-run-means-not-run';

/**
 * No runner ran a request that was answered `not-run`. A run belongs to an invocation by name or by
 * request id; a run under a key belongs to all of them when each was answered `not-run`.
 */
export function notRunMeansNotRun(history: History): readonly Violation[] {
  const refused = eventsOf(history, 'answer').filter(({ word }) => word === 'not-run');
  const runs = eventsOf(history, 'run');
  const invocations = eventsOf(history, 'invocation');
  const refusedNames = new Set(refused.map(({ invocation }) => invocation));

  function runsUnderKey(name: string): readonly EventOf<'run'>[] {
    const invocation = invocations.find((one) => one.invocation === name);
    if (invocation?.key === undefined) return [];
    const { tenant, key } = invocation;
    const same = invocations.filter((one) => one.tenant === tenant && one.key === key);
    if (!same.every((one) => refusedNames.has(one.invocation))) return [];
    return runs.filter((run) => run.tenant === tenant && run.key === key);
  }

  return refused.flatMap((answer) => {
    const { invocation, requestId } = answer;
    const own = runs.filter(
      (run) =>
        run.invocation === invocation || (requestId !== undefined && run.requestId === requestId),
    );
    const found = own.length > 0 ? own : runsUnderKey(invocation);
    if (found.length === 0) return [];
    const message = `${invocation} was answered not-run and ran ${found.length} times`;
    return [{ promise: PROMISE, message, events: [answer, ...found] }];
  });
}
