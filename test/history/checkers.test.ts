import test from 'ava';
import { checkers } from '@ragwortrudder/history';
import type { CheckerOptions, History, HistoryRecord } from '@ragwortrudder/history';
import { answer, historyOf, orderRun, quote, reorder, tokenText } from './events.ts';

interface Case {
  readonly promise: keyof typeof checkers;
  readonly name: string;
  readonly history: History;
  readonly options?: CheckerOptions;
  /** Pattern that the message of every violation must match; undefined if the history must pass. */
  readonly rejects?: RegExp;
}

const PROMPT = 'ten pallets of bleach';
const COMPLETED = { word: 'completed' } as const;
const UNKNOWN = { word: 'unknown' } as const;
const NOT_RUN = { word: 'not-run' } as const;
const KILL: HistoryRecord = { type: 'fault', fault: 'kill', target: 'n1', phase: 'once' };
const NOTICE: HistoryRecord = { type: 'notice', vm: 'vm-1', deadline: 30_000 };

function token(index: number, number = index + 1, text = tokenText(PROMPT, index)): HistoryRecord {
  return answer('a', 'token', { requestId: 'q', epoch: 0, number, text });
}

function run(requestId: string, version = '2'): HistoryRecord {
  return { type: 'run', runner: 'r1', endpoint: 'vm-1', service: 'quotes', version, requestId };
}

function ticket(
  number: number,
  state: 'accepted' | 'refused' | 'in-force',
  node = 'n1',
): HistoryRecord {
  return { type: 'ticket', number, state, node, scope: 'quotes' };
}

function start(target: string): HistoryRecord {
  return { type: 'start', target, role: 'node', failureDomain: 'zone-1' };
}

function stop(phase: 'start' | 'end', planned = true): HistoryRecord {
  return { type: 'stop', target: 'n1', planned, phase };
}

function versionRuns(bad: number, good: number): readonly (readonly [number, HistoryRecord])[] {
  const runs = (count: number, version: string) =>
    Array.from({ length: count }, (_, at) => [at, run(`${version}-${at}`, version)] as const);
  return [...runs(bad, '2'), ...runs(good, '1')];
}

const BAD: HistoryRecord = { type: 'version', service: 'quotes', version: '2', state: 'bad-shown' };
const NODE = { node: 'n1' };

const cases: readonly Case[] = [
  {
    promise: 'accepted-survives',
    name: 'completed after a kill',
    history: historyOf(
      [0, quote('a', PROMPT, 1)],
      [1, answer('a', 'accepted')],
      [2, KILL],
      [3, answer('a', 'done', COMPLETED)],
    ),
  },
  {
    promise: 'accepted-survives',
    name: 'unknown after an unannounced kill',
    history: historyOf(
      [0, reorder('a')],
      [1, answer('a', 'accepted')],
      [2, KILL],
      [3, answer('a', 'failed', UNKNOWN)],
    ),
  },
  {
    promise: 'accepted-survives',
    name: 'refused before acceptance',
    history: historyOf([0, reorder('a')], [1, answer('a', 'refused', NOT_RUN)]),
  },
  {
    promise: 'accepted-survives',
    name: 'no final outcome',
    history: historyOf([0, quote('a', PROMPT, 1)], [1, answer('a', 'accepted')], [2, KILL]),
    rejects: /no final word/,
  },
  {
    promise: 'accepted-survives',
    name: 'unknown after an announced reclaim only',
    history: historyOf(
      [0, reorder('a')],
      [1, answer('a', 'accepted')],
      [2, NOTICE],
      [3, answer('a', 'failed', UNKNOWN)],
    ),
    rejects: /ended as unknown/,
  },
  {
    promise: 'accepted-survives',
    name: 'a model request that failed after a kill',
    history: historyOf(
      [0, quote('a', PROMPT, 1)],
      [1, answer('a', 'accepted')],
      [2, KILL],
      [3, answer('a', 'failed', { word: 'failed' })],
    ),
    rejects: /ended as failed/,
  },
  {
    promise: 'whole-answer-once',
    name: 'all tokens over a reconnect',
    history: historyOf(
      [0, quote('a', PROMPT, 3)],
      [1, token(0)],
      [2, answer('a', 'cut')],
      [3, token(1)],
      [4, token(2)],
      [5, answer('a', 'done', { ...COMPLETED, number: 4 })],
    ),
  },
  {
    promise: 'whole-answer-once',
    name: 'a gap',
    history: historyOf([0, quote('a', PROMPT, 3)], [1, token(0)], [2, token(2)]),
    rejects: /token 2 in place of 1/,
  },
  {
    promise: 'whole-answer-once',
    name: 'a repeat under a new number',
    history: historyOf([0, quote('a', PROMPT, 3)], [1, token(0)], [2, token(0, 2)]),
    rejects: /token 0 in place of 1/,
  },
  {
    promise: 'whole-answer-once',
    name: 'a repeated event number',
    history: historyOf([0, quote('a', PROMPT, 3)], [1, token(0)], [2, token(1, 1)]),
    rejects: /event 1 again|different text/,
  },
  {
    promise: 'whole-answer-once',
    name: 'the response to another caller',
    history: historyOf([0, quote('a', PROMPT, 1)], [1, token(0, 1, tokenText('soap', 0))]),
    rejects: /another request/,
  },
  {
    promise: 'whole-answer-once',
    name: 'an incomplete response',
    history: historyOf(
      [0, quote('a', PROMPT, 2)],
      [1, token(0)],
      [2, answer('a', 'done', COMPLETED)],
    ),
    rejects: /1 of 2 tokens/,
  },
  {
    promise: 'whole-answer-once',
    name: 'two final events',
    history: historyOf(
      [0, quote('a', PROMPT, 1)],
      [1, token(0)],
      [2, answer('a', 'done', COMPLETED)],
      [3, answer('a', 'done', COMPLETED)],
    ),
    rejects: /ended 2 times/,
  },
  {
    promise: 'whole-answer-once',
    name: 'readers that received different text',
    history: historyOf(
      [0, quote('a', PROMPT, 2)],
      [0, quote('b', PROMPT, 2)],
      [1, token(0)],
      [2, answer('b', 'token', { requestId: 'q', number: 1, text: tokenText(PROMPT, 0, 'r2') })],
    ),
    rejects: /different text/,
  },
  {
    promise: 'not-run-means-not-run',
    name: 'a retry that ran',
    history: historyOf(
      [0, reorder('a')],
      [1, answer('a', 'refused', NOT_RUN)],
      [2, reorder('b')],
      [3, orderRun('b')],
      [4, answer('b', 'done', COMPLETED)],
    ),
  },
  {
    promise: 'not-run-means-not-run',
    name: 'a refused request that ran later',
    history: historyOf([0, reorder('a')], [1, answer('a', 'refused', NOT_RUN)], [9, orderRun('a')]),
    rejects: /a was answered not-run and ran 1/,
  },
  {
    promise: 'not-run-means-not-run',
    name: 'a run under a key whose requests were all refused',
    history: historyOf(
      [0, reorder('a')],
      [1, orderRun('other')],
      [2, answer('a', 'failed', NOT_RUN)],
    ),
    rejects: /a was answered not-run/,
  },
  {
    promise: 'at-most-once',
    name: 'one run for two requests, and one run for each tenant',
    history: historyOf(
      [0, reorder('a')],
      [0, reorder('b')],
      [1, orderRun('a')],
      [2, { ...orderRun('c'), tenant: 'other' } as HistoryRecord],
      [3, answer('a', 'done', COMPLETED)],
      [3, answer('b', 'done', COMPLETED)],
    ),
  },
  {
    promise: 'at-most-once',
    name: 'two runs at two runners',
    history: historyOf([0, reorder('a')], [1, orderRun('a')], [2, orderRun('b')]),
    rejects: /ran 2 times/,
  },
  {
    promise: 'at-most-once',
    name: 'completed without a run',
    history: historyOf([0, reorder('a')], [1, answer('a', 'done', COMPLETED)]),
    rejects: /no runner ran it/,
  },
  {
    promise: 'leaving-endpoint',
    name: 'requests in progress and new requests within the bound',
    history: historyOf(
      [0, run('x')],
      [1, NOTICE],
      [4_000, run('y')],
      [5_001, run('x')],
      [9_000, run('y')],
    ),
  },
  {
    promise: 'leaving-endpoint',
    name: 'a new request after the bound, counted from the first notice',
    history: historyOf([1, NOTICE], [4_000, NOTICE], [5_002, run('y')]),
    rejects: /received y 5001 ms after/,
  },
  {
    promise: 'bad-version-bounded',
    name: 'few runs and none after the stop time',
    history: historyOf(...versionRuns(20, 10), [100, BAD], [5_101, run('1-x', '1')]),
  },
  {
    promise: 'bad-version-bounded',
    name: 'many runs within the share',
    history: historyOf(...versionRuns(30, 270), [300, BAD]),
  },
  {
    promise: 'bad-version-bounded',
    name: 'too large a share',
    history: historyOf(...versionRuns(31, 200), [300, BAD]),
    rejects: /2 received 31 of 231 runs/,
  },
  {
    promise: 'bad-version-bounded',
    name: 'a new request after the version was proven bad',
    history: historyOf(...versionRuns(2, 9), [100, BAD], [5_200, run('2-late')]),
    rejects: /received 2-late 5100 ms after/,
  },
  {
    promise: 'bad-version-bounded',
    name: 'a tighter bound from the options',
    history: historyOf(...versionRuns(2, 9), [100, BAD], [1_200, run('2-late')]),
    options: { badVersionStopMs: 1_000 },
    rejects: /received 2-late 1100 ms after/,
  },
  {
    promise: 'graceful-stop',
    name: 'the response ends before the stop, or on another node',
    history: historyOf(
      [0, answer('a', 'accepted', NODE)],
      [1, answer('b', 'accepted', NODE)],
      [2, answer('b', 'done', COMPLETED)],
      [3, stop('start')],
      [4, answer('a', 'cut', NODE)],
      [5, stop('end')],
      [6, answer('a', 'done', { ...COMPLETED, node: 'n2' })],
    ),
  },
  {
    promise: 'graceful-stop',
    name: 'an unplanned stop is ignored',
    history: historyOf([0, answer('a', 'accepted', NODE)], [3, stop('start', false)]),
  },
  {
    promise: 'graceful-stop',
    name: 'a request without a final outcome',
    history: historyOf([0, answer('a', 'accepted', NODE)], [3, stop('start')], [5, stop('end')]),
    rejects: /a was cut off by the planned stop of n1/,
  },
  {
    promise: 'graceful-stop',
    name: 'a request that ends as unknown because its runner stopped',
    history: historyOf(
      [0, answer('a', 'accepted', { node: 'n2' })],
      [1, orderRun('a')],
      [3, { type: 'stop', target: 'o1', planned: true, phase: 'start' }],
      [4, answer('a', 'failed', UNKNOWN)],
    ),
    rejects: /planned stop of o1/,
  },
  {
    promise: 'graceful-stop',
    name: 'a lost connection where no reconnect is allowed',
    history: historyOf(
      [0, answer('a', 'accepted', NODE)],
      [3, stop('start')],
      [4, answer('a', 'cut', NODE)],
      [6, answer('a', 'done', { ...COMPLETED, node: 'n2' })],
    ),
    options: { reconnectAllowed: false },
    rejects: /a was cut off/,
  },
  {
    promise: 'ticket-in-force',
    name: 'in force at each node in time, or superseded by a later one',
    history: historyOf(
      [0, start('n1')],
      [0, start('n2')],
      [1_000, ticket(7, 'accepted')],
      [2_000, ticket(7, 'in-force')],
      [3_000, ticket(8, 'accepted')],
      [4_000, ticket(8, 'in-force', 'n2')],
      [5_000, ticket(8, 'in-force')],
      [40_000, start('n3')],
    ),
  },
  {
    promise: 'ticket-in-force',
    name: 'a partitioned node catches up within the bound after the partition ends',
    history: historyOf(
      [0, start('n1')],
      [500, { type: 'fault', fault: 'cut', target: 'n1', phase: 'start' }],
      [1_000, ticket(7, 'accepted')],
      [30_000, { type: 'fault', fault: 'cut', target: 'n1', phase: 'end' }],
      [45_000, ticket(7, 'in-force')],
      [60_000, start('n3')],
    ),
  },
  {
    promise: 'ticket-in-force',
    name: 'late at one node',
    history: historyOf(
      [0, start('n1')],
      [0, start('n2')],
      [1_000, ticket(7, 'accepted')],
      [2_000, ticket(7, 'in-force')],
      [17_001, ticket(7, 'in-force', 'n2')],
    ),
    rejects: /ticket 7 is not in force at n2/,
  },
  {
    promise: 'ticket-in-force',
    name: 'a replaced node that never catches up',
    history: historyOf(
      [0, start('n1')],
      [1_000, ticket(7, 'accepted')],
      [2_000, ticket(7, 'in-force')],
      [3_000, stop('end')],
      [4_000, start('n1')],
      [30_000, start('n3')],
    ),
    rejects: /ticket 7 is not in force at n1/,
  },
  {
    promise: 'ticket-in-force',
    name: 'a node that reverts to an earlier ticket',
    history: historyOf(
      [1_000, ticket(7, 'in-force')],
      [2_000, ticket(8, 'in-force')],
      [3_000, ticket(7, 'in-force')],
    ),
    rejects: /went back from ticket 8 to 7/,
  },
  {
    promise: 'ticket-in-force',
    name: 'an accepted ticket that is refused later',
    history: historyOf([1_000, ticket(7, 'accepted')], [2_000, ticket(7, 'refused')]),
    rejects: /accepted and refused/,
  },
];

for (const { promise, name, history, options, rejects } of cases) {
  test(`${promise} ${rejects ? 'rejects' : 'accepts'}: ${name}`, (t) => {
    const violations = checkers[promise](history, options);
    if (!rejects) {
      t.deepEqual(violations, []);
      return;
    }
    t.true(violations.length > 0);
    for (const violation of violations) {
      t.is(violation.promise, promise);
      t.regex(violation.message, rejects);
      t.true(violation.events.length > 0);
    }
  });
}
