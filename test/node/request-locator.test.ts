import test from 'ava';
import { ManualClock } from '@ragwortrudder/core';
import { RequestUnknown, formatRequestId } from '@ragwortrudder/requests';
import type { RequestEvent } from '@ragwortrudder/requests';
import { LiveIncarnation } from '../../packages/node/src/node/lifecycle/live-incarnation.ts';
import { RequestLocator } from '../../packages/node/src/node/requests/request-locator.ts';

type Options = ConstructorParameters<typeof RequestLocator>;
type Answer = Readonly<Record<string, unknown>>;

const ID = formatRequestId({ owner: 'b', incarnation: 1, holder: 'c', serial: 'x' });
const DONE: RequestEvent = { epoch: 1, number: 1, body: { type: 'done', tokens: 0 } };
const FINISHED: Answer = { state: 'here', events: [DONE], finished: true };

interface PeerScenario {
  /** Successive replies of the nodes b and c; undefined when the node does not reply. */
  readonly answers: Readonly<Record<string, readonly (Answer | undefined)[]>>;
  readonly isOwnerGone?: boolean;
  readonly states?: Readonly<Record<string, string>>;
}

/** Locator on node a, which neither owns the request nor holds its replica. */
function locatorFor({ answers, isOwnerGone = true, states = {} }: PeerScenario): RequestLocator {
  const clock = new ManualClock();
  const callCounts: Record<string, number> = {};
  const client = {
    call: ({ address }: { readonly address: string }) => {
      const peerAnswers = answers[address] ?? [];
      const callIndex = callCounts[address] ?? 0;
      callCounts[address] = callIndex + 1;
      const answer = peerAnswers[Math.min(callIndex, peerAnswers.length - 1)];
      return answer ? Promise.resolve(answer) : Promise.reject(new RangeError('silent'));
    },
  };
  const peers = {
    reachable: Object.keys(answers).map((nodeId) => ({ nodeId })),
    find: (nodeId: string) => ({
      nodeId,
      peerAddress: nodeId,
      incarnation: 1,
      state: states[nodeId] ?? 'alive',
    }),
    isGone: () => isOwnerGone,
  };
  const local = {
    read: () => Promise.resolve({ state: 'absent' }),
    pause: (ms: number) => {
      clock.advance(ms);
      return Promise.resolve();
    },
  };
  const self = new LiveIncarnation({ nodeId: 'a', number: 1 });
  const parts: unknown[] = [self, clock, client, peers, local];
  return new RequestLocator(...(parts as unknown as Options));
}

async function read(locator: RequestLocator): Promise<readonly RequestEvent[]> {
  const events: RequestEvent[] = [];
  const after = { epoch: 0, number: 0 };
  const { signal } = new AbortController();
  for await (const event of locator.events({ id: ID, tenant: 'novak', after, signal }))
    events.push(event);
  return events;
}

test('a reader waits for the replica holder until it has taken the request over', async (t) => {
  const replica: Answer = { state: 'replica' };
  const answers = { b: [undefined], c: [replica, replica, FINISHED] };
  t.deepEqual(await read(locatorFor({ answers, states: { b: 'dead' } })), [DONE]);
});

test('a reader follows a request that was handed over', async (t) => {
  const answers = { b: [{ state: 'moved', nodeId: 'c' }], c: [{ state: 'absent' }, FINISHED] };
  t.deepEqual(await read(locatorFor({ answers, isOwnerGone: false })), [DONE]);
});

test('a reader gets a retryable error while the replica holder does not reply', async (t) => {
  const answers = { b: [undefined], c: [undefined] };
  const error = await t.throwsAsync(read(locatorFor({ answers, states: { b: 'left' } })), {
    instanceOf: RequestUnknown,
  });
  t.true(error.retryable);
  t.truthy(error.retryAfterMs);
});

test('a reader gets a retryable error immediately while the owner may be partitioned', async (t) => {
  const answers = { c: [{ state: 'absent' }] };
  const error = await t.throwsAsync(read(locatorFor({ answers, states: { b: 'dead' } })), {
    instanceOf: RequestUnknown,
  });
  t.true(error.retryable);
});

test('a request that no node holds any more is permanently unknown', async (t) => {
  const answers = { c: [{ state: 'absent' }] };
  const error = await t.throwsAsync(read(locatorFor({ answers, states: { b: 'left' } })), {
    instanceOf: RequestUnknown,
  });
  t.false(error.retryable);
});
