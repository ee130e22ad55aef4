import test from 'ava';
import { Ledger } from '@ragwortrudder/soak';
import type { RequestKind, SeenAnswer, SeenRun } from '@ragwortrudder/soak';

function sent(ledger: Ledger, id: string, kind: RequestKind, events = 0): void {
  ledger.sent({ id, kind, node: 'n1', team: 't', body: 'b', events, at: 0 });
}

function run(id: string, change: Partial<SeenRun> = {}): SeenRun {
  return { id, runner: 'r1', team: 't', body: 'b', after: 0, at: 1, ...change };
}

function answer(id: string, change: Partial<SeenAnswer> = {}): SeenAnswer {
  return {
    id,
    status: 200,
    signature: `r1.${id}`,
    body: `done ${id}`,
    isWhole: true,
    at: 2,
    ...change,
  };
}

function promises(ledger: Ledger): readonly string[] {
  return ledger.judge().map(({ promise }) => promise);
}

test('what was run once and answered whole breaks nothing', (t) => {
  const ledger = new Ledger();
  sent(ledger, 'a', 'order');
  ledger.ran(run('a'));
  ledger.answered(answer('a'));
  t.deepEqual(promises(ledger), []);
});

test('an order that runs twice is seen, a read that does is not', (t) => {
  const ledger = new Ledger();
  sent(ledger, 'a', 'order');
  sent(ledger, 'b', 'read');
  for (const runner of ['r1', 'r2']) {
    ledger.ran(run('a', { runner }));
    ledger.ran(run('b', { runner }));
  }
  t.deepEqual(promises(ledger), ['at-most-once']);
});

test('a refusal of what has run is seen, also when it ran afterwards', (t) => {
  const ledger = new Ledger();
  sent(ledger, 'a', 'draft', 3);
  ledger.answered(answer('a', { status: 503, signature: undefined, body: '' }));
  ledger.ran(run('a'));
  t.deepEqual(promises(ledger), ['true-refusal']);
});

test('runs that nobody asked for, with another body or team are seen', (t) => {
  const ledger = new Ledger();
  sent(ledger, 'a', 'read');
  ledger.ran(run('x'));
  ledger.ran(run('a', { body: 'other' }));
  ledger.ran(run('a', { team: undefined }));
  t.deepEqual(promises(ledger), ['unasked', 'unasked', 'unasked']);
});

test('answers of another request, of nobody, or cut short that look whole are seen', (t) => {
  const ledger = new Ledger();
  for (const id of ['a', 'b', 'c']) sent(ledger, id, 'order');
  ledger.ran(run('a'));
  ledger.ran(run('b'));
  ledger.answered(answer('a', { body: 'done b' }));
  ledger.answered(answer('b', { body: 'do' }));
  ledger.answered(answer('c'));
  t.deepEqual(promises(ledger), ['own-answer', 'own-answer', 'own-answer']);
});

test('a stream may break off, but never skip, repeat or end early', (t) => {
  const event = (id: string, number: number): string =>
    `id: ${number}\ndata: ${id} ${number}/3\n\n`;
  const ledger = new Ledger();
  const bodies = new Map<string, readonly [readonly number[], boolean]>([
    ['broken-off', [[1, 2], false]],
    ['whole', [[1, 2, 3], true]],
    ['early', [[1, 2], true]],
    ['skips', [[1, 3], false]],
    ['repeats', [[1, 2, 2, 3], true]],
  ]);
  for (const [id, [numbers, isWhole]] of bodies) {
    sent(ledger, id, 'ask', 3);
    ledger.ran(run(id));
    const body = numbers.map((number) => event(id, number)).join('');
    ledger.answered(answer(id, { body, isWhole }));
  }
  const messages = ledger.judge().map(({ message }) => message.split(' ')[0]);
  t.deepEqual(messages, ['early', 'skips', 'repeats']);
});
