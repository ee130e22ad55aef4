import { createHash } from 'node:crypto';
import type { EventOf } from '../types/event-of.ts';
import type { History } from '../types/history.ts';
import type { Violation } from '../types/violation.ts';
import { eventsOf } from './events-of.ts';
import { groupBy } from './group-by.ts';

const PROMISE = 'whole-answer-once';
const HASH_LENGTH = 16;
const TOKEN_PATTERN = /^(?<hash>[0-9a-f]{16})\.(?<index>\d+)\.(?<runner>.+)$/;

type Answer = EventOf<'answer'>;

function violation(message: string, events: readonly Answer[]): Violation {
  return { promise: PROMISE, message, events };
}

function checkToken(token: Answer, expected: { readonly hash: string; readonly index: number }) {
  const parts = TOKEN_PATTERN.exec(token.text ?? '')?.groups;
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
  const hash = createHash('sha256').update(prompt).digest('hex').slice(0, HASH_LENGTH);
  const tokens = answers.filter(({ event }) => event === 'token');
  tokens.forEach((token, index) => {
    const problem = checkToken(token, { hash, index });
    if (problem) found.push(violation(`${name} received ${problem}`, [token]));
  });
  const isIncomplete = maxTokens !== undefined && tokens.length !== maxTokens;
  if (isIncomplete && done.length > 0) {
    found.push(violation(`${name} received ${tokens.length} of ${maxTokens} tokens`, done));
  }
  return found;
}

function checkReadersAgree(answers: readonly Answer[]): readonly Violation[] {
  const tokens = answers.filter(
    ({ event, requestId, number }) => event === 'token' && requestId && number !== undefined,
  );
  const positions = groupBy(tokens, ({ requestId, number }) => JSON.stringify([requestId, number]));
  return [...positions]
    .filter(([, events]) => new Set(events.map(({ text }) => text)).size > 1)
    .map(([position, events]) => violation(`readers saw different text at ${position}`, events));
}

/**
 * Checks that each caller assembled the response to its own prompt: tokens 0 to n-1 without gaps or
 * repeats. Also checks that all readers of a request received the same text at the same number.
 */
export function wholeAnswerOnce(history: History): readonly Violation[] {
  const answers = eventsOf(history, 'answer');
  const byInvocation = groupBy(answers, ({ invocation }) => invocation);
  const ownViolations = eventsOf(history, 'invocation').flatMap((one) =>
    checkAnswer(one, byInvocation.get(one.invocation) ?? []),
  );
  return [...ownViolations, ...checkReadersAgree(answers)];
}
