import type { EventOf } from '../types/event-of.ts';

const FINAL_EVENTS: ReadonlySet<string> = new Set(['done', 'failed', 'refused']);

/** Returns the event that ended a response, or undefined while it is in progress. */
export function finalAnswer(answers: readonly EventOf<'answer'>[]): EventOf<'answer'> | undefined {
  return answers.find(({ event }) => FINAL_EVENTS.has(event));
}
