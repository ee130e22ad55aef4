import type { History } from '../types/history.ts';
import type { Violation } from '../types/violation.ts';
import { eventsOf } from './events-of.ts';
import { groupBy } from './group-by.ts';

const PROMISE = 'at-most-once';

function idempotencyScope({
  tenant,
  key,
}: {
  readonly tenant?: string;
  readonly key?: string;
}): string {
  return JSON.stringify([tenant, key]);
}

/**
 * Checks that a request with an idempotency key runs at most once per tenant, and is answered with
 * `completed` only if it ran.
 */
export function atMostOnce(history: History): readonly Violation[] {
  const keyedRuns = eventsOf(history, 'run').filter(({ key }) => key !== undefined);
  const runs = groupBy(keyedRuns, (run) =>
    idempotencyScope({ tenant: run.tenant ?? '', key: run.key ?? '' }),
  );
  const repeated = [...runs]
    .filter(([, events]) => events.length > 1)
    .map(([name, events]) => {
      return { promise: PROMISE, message: `${name} ran ${events.length} times`, events };
    });
  const answers = eventsOf(history, 'answer').filter(({ word }) => word === 'completed');
  const withoutRun = eventsOf(history, 'invocation').flatMap((invocation) => {
    const { tenant, key } = invocation;
    if (key === undefined || runs.has(idempotencyScope({ tenant, key }))) return [];
    const answer = answers.find((one) => one.invocation === invocation.invocation);
    if (!answer) return [];
    const message = `${invocation.invocation} is completed and no runner ran it`;
    return [{ promise: PROMISE, message, events: [invocation, answer] }];
  });
  return [...repeated, ...withoutRun];
}
