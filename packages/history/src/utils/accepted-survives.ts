import type { CheckerOptions } from '../types/checker-options.ts';
import type { EventOf } from '../types/event-of.ts';
import type { History } from '../types/history.ts';
import type { Violation } from '../types/violation.ts';
import { eventsOf } from './events-of.ts';
import { finalAnswer } from './final-answer.ts';
import { groupBy } from './group-by.ts';

const PROMISE = 'accepted-survives';
const DEFAULT_UNANNOUNCED_FAULTS: readonly string[] = ['kill'];

/**
 * Checks that every accepted request ends with its own response: a model request with the complete
 * text, an operation with its result or with the failure that the application reported. A request
 * with an idempotency key may end as `unknown`, but only after a fault without prior notice.
 */
export function acceptedSurvives(
  history: History,
  options: CheckerOptions = {},
): readonly Violation[] {
  const unannounced = options.unannouncedFaults ?? DEFAULT_UNANNOUNCED_FAULTS;
  const faults = eventsOf(history, 'fault').filter(
    ({ fault, phase }) => unannounced.includes(fault) && phase !== 'end',
  );
  const invocations = new Map(eventsOf(history, 'invocation').map((one) => [one.invocation, one]));
  const violations: Violation[] = [];

  function isFulfilled(accepted: EventOf<'answer'>, last: EventOf<'answer'> | undefined): boolean {
    if (!last) return false;
    if (last.event === 'done' && last.word === 'completed') return true;
    const invocation = invocations.get(accepted.invocation);
    if (!invocation || invocation.prompt !== undefined) return false;
    if (last.word === 'failed') return true;
    if (last.word !== 'unknown' || invocation.key === undefined) return false;
    return faults.some(({ at }) => at <= last.at);
  }

  for (const [name, answers] of groupBy(eventsOf(history, 'answer'), (one) => one.invocation)) {
    const accepted = answers.find(({ event }) => event === 'accepted');
    if (!accepted) continue;
    const last = finalAnswer(answers);
    if (isFulfilled(accepted, last)) continue;
    const message = last
      ? `${name} was accepted and ended as ${last.word ?? last.event}`
      : `${name} was accepted and has no final word`;
    violations.push({ promise: PROMISE, message, events: last ? [accepted, last] : [accepted] });
  }
  return violations;
}
