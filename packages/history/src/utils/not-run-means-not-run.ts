import type { EventOf } from '../types/event-of.ts';
import type { History } from '../types/history.ts';
import type { Violation } from '../types/violation.ts';
import { eventsOf } from './events-of.ts';

const PROMISE = 'not-run-means-not-run';

/**
 * Checks that no runner executed a request that was answered with `not-run`. A run is matched to an
 * invocation by name or request id. A run under an idempotency key is matched to the invocations
 * with that key only if all of them were answered with `not-run`; otherwise it may belong to another
 * one.
 */
export function notRunMeansNotRun(history: History): readonly Violation[] {
  const refused = eventsOf(history, 'answer').filter(({ word }) => word === 'not-run');
  const runs = eventsOf(history, 'run');
  const invocations = eventsOf(history, 'invocation');
  const refusedInvocations = new Set(refused.map(({ invocation }) => invocation));

  function runsUnderKey(name: string): readonly EventOf<'run'>[] {
    const invocation = invocations.find((one) => one.invocation === name);
    if (invocation?.key === undefined) return [];
    const { tenant, key } = invocation;
    const sameKey = invocations.filter((one) => one.tenant === tenant && one.key === key);
    if (!sameKey.every((one) => refusedInvocations.has(one.invocation))) return [];
    return runs.filter((run) => run.tenant === tenant && run.key === key);
  }

  return refused.flatMap((answer) => {
    const { invocation, requestId } = answer;
    const directRuns = runs.filter(
      (run) =>
        run.invocation === invocation || (requestId !== undefined && run.requestId === requestId),
    );
    const found = directRuns.length > 0 ? directRuns : runsUnderKey(invocation);
    if (found.length === 0) return [];
    const message = `${invocation} was answered not-run and ran ${found.length} times`;
    return [{ promise: PROMISE, message, events: [answer, ...found] }];
  });
}
