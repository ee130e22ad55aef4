import { createHash } from 'node:crypto';
import type { EventOf } from '../types/event-of.ts';
import type { History } from '../types/history.ts';
import type { Violation } from '../types/violation.ts';
import { eventsOf } from './events-of.ts';
import { groupBy } from './group-by.ts';

const PROMISE = 'whole-answer-once';
const HASH_DIGITS = 16;
const TOKEN_FORM = /^(?<hash>[0-9a-f]{16})\.(?<index>\d+)\.(?<runner>.+)$/;

type Answer = EventOf<'answer'>;

function violation(message: string, events: readonly Answer[]): Violation {
  return { promise: PROMISE, message, events };
}

function checkToken(token: Answer, expected: { readonly hash: string; readonly index: number }) {
  const parts = TOKEN_FORM.exec(token.text ?? '')?.groups;
  if (!parts) return 'a token without the form of the engine';
  if (parts.hash !== expected.hash) return 'a token of another request';
  if (Number(parts.index) === expected.index) return undefined;
  return `token ${parts.index ?? ''} in place of ${expected.index}`;
}

function checkNumbers(name: string, answers: readonly Answer[]): readonly Violation[] {
  const numbered = answers.filter(({ number }) => number !== undefined);
  return numbered.flatMap((answer, at) => {
    const previous = numbered[at - 1];
    if (!previous || (answer.number ?? 0) > (previous.number ?? 0)) return [];
    return [violation(`${name} received event ${answer.number ?? ''} again`, [previous, answer])];
  });
}

function checkAnswer(
  invocation: EventOf<'invocation'>,
  answers: readonly Answer[],
): readonly Violation[] {
  const { invocation: name, prompt, maxTokens } = invocation;
  const found = [...checkNumbers(name, answers)];
  const done = answers.filter(({ event }) => event === 'done');
  if (done.length > 1) found.push(violation(`${name} ended ${done.length} times`, done));
  if (prompt === undefined) return found;
  const hash = createHash('sha256').update(prompt).digest('hex').slice(0, HASH_DIGITS);
  const tokens = answers.filter(({ event }) => event === 'token');
  tokens.forEach((token, index) => {
    const problem = checkToken(token, { hash, index });
    if (problem) found.push(violation(`${name} received ${problem}`, [token]));
  });
  const isShort = maxTokens !== undefined && tokens.length !== maxTokens;
  if (isShort && done.length > 0) {
    found.push(violation(`${name} received ${tokens.length} of ${maxTokens} tokens`, done));
  }
  return found;
}

function checkReaders(answers: readonly Answer[]): readonly Violation[] {
  const tokens = answers.filter(
    ({ event, requestId, number }) => event === 'token' && requestId && number !== undefined,
  );
  const places = groupBy(tokens, ({ requestId, number }) => JSON.stringify([requestId, number]));
  return [...places]
    .filter(([, events]) => new Set(events.map(({ text }) => text)).size > 1)
    .map(([place, events]) => violation(`readers saw different text at ${place}`, events));
}

/**
 * What a caller assembled is its own answer: the tokens 0 to n-1 of its own prompt, without gap or
 * repeat, and all readers of a request saw the same text at the same number.
 */
export function wholeAnswerOnce(history: History): readonly Violation[] {
  const answers = eventsOf(history, 'answer');
  const byInvocation = groupBy(answers, ({ invocation }) => invocation);
  const own = eventsOf(history, 'invocation').flatMap((one) =>
    checkAnswer(one, byInvocation.get(one.invocation) ?? []),
  );
  return [...own, ...checkReaders(answers)];
}
