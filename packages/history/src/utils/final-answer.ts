import type { EventOf } from '../types/event-of.ts';

const FINAL: ReadonlySet<string> = new Set(['done', 'failed', 'refused']);

/** Returns the event that ended an answer, if it has ended. */
export function finalAnswer(answers: readonly EventOf<'answer'>[]): EventOf<'answer'> | undefined {
  return answers.find(({ event }) => FINAL.has(event));
}
