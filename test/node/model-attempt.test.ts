import test from 'ava';
import { ManualClock } from '@ragwortrudder/core';
import { EventLog, nextEpoch } from '@ragwortrudder/requests';
import { Metrics } from '../../packages/node/src/node/metrics/metrics.ts';
import { OwnedRequest } from '../../packages/node/src/node/requests/owned-request.ts';
import { Replication } from '../../packages/node/src/node/requests/replication.ts';
import { ModelAttempt } from '../../packages/node/src/node/runners/model-attempt.ts';
import { Runner } from '../../packages/node/src/node/runners/runner.ts';
import type { EngineEvent } from '../../packages/node/src/types/engine-event.ts';

const SELF = { nodeId: 'a', number: 1 };
const clock = new ManualClock();

function ownedBy(nodeId: string): OwnedRequest {
  const request = {
    id: 'r1.a.1.-.x',
    tenant: 'novak',
    service: 'quotes',
    class: 'batch',
    deadline: 60_000,
    acceptedAt: 0,
    idempotent: true,
    input: { kind: 'model', prompt: 'p', maxTokens: 2 },
  } as const;
  const metrics = new Metrics();
  const events = new EventLog(request.id, nextEpoch(0, nodeId));
  const replication = new Replication({
    request,
    events,
    self: SELF,
    links: { send: () => Promise.resolve('ok') },
    metrics,
    clock,
    chooseHolder: () => undefined,
    onSuperseded: () => undefined,
  });
  return new OwnedRequest({ request, incarnation: SELF, events, replication, metrics, clock });
}

function attemptOf(owned: OwnedRequest, events: readonly EngineEvent[]): ModelAttempt {
  const runner = new Runner({
    identity: {
      id: 'q1',
      endpoint: 'x',
      failureDomain: 'a',
      service: 'quotes',
      version: 'v1',
      kind: 'model',
    },
    initialLimit: 8,
    minSilenceMs: 500,
  });
  const request = { id: owned.request.id, service: 'quotes', blocks: [], promptTokens: 1 };
  return new ModelAttempt({
    owned,
    assignment: { runner, version: 'v1', request, expectedMs: 10, referenceMs: 10 },
    model: {
      async *generate() {
        await Promise.resolve();
        yield* events;
      },
    },
    client: { probe: () => Promise.reject(new RangeError()), cancel: () => Promise.resolve() },
    clock,
    metrics: new Metrics(),
  });
}

const tokens: readonly EngineEvent[] = [
  { type: 'start', cachedTokens: 0, computedTokens: 1 },
  { type: 'token', index: 0, text: 'a' },
  { type: 'token', index: 1, text: 'b' },
];

test('a stream that ends with finish reason "length" is complete', async (t) => {
  const owned = ownedBy('a');
  const end = await attemptOf(owned, [...tokens, { type: 'done', finish: 'length' }]).run();
  t.deepEqual(end, { kind: 'done', tokens: 2 });
  t.deepEqual(owned.events.tokens, ['a', 'b']);
});

test('a stream that was cancelled, interrupted, failed or skipped a token is a failed attempt', async (t) => {
  const endings: readonly (readonly EngineEvent[])[] = [
    [{ type: 'done', finish: 'cancelled' }],
    [],
    [{ type: 'error', message: 'out of memory' }],
    [{ type: 'token', index: 5, text: 'f' }],
  ];
  for (const ending of endings) {
    const end = await attemptOf(ownedBy('a'), [...tokens, ...ending]).run();
    t.is(end.kind, 'failed');
  }
});

test('tokens that the caller has already received are not emitted again', async (t) => {
  const owned = ownedBy('a');
  owned.events.add({ type: 'token', index: 0, text: 'a' });
  const end = await attemptOf(owned, [...tokens, { type: 'done', finish: 'length' }]).run();
  t.is(end.kind, 'done');
  t.deepEqual(owned.events.tokens, ['a', 'b']);
});

// Guards against joining the tokens of two runs into one answer.
test('an engine that begins again with other tokens is a failed attempt', async (t) => {
  const owned = ownedBy('a');
  owned.events.add({ type: 'token', index: 0, text: 'z' });
  const end = await attemptOf(owned, [...tokens, { type: 'done', finish: 'length' }]).run();
  t.is(end.kind, 'failed');
  t.deepEqual(owned.events.tokens, ['z']);
});

test('two owners of one request never use the same attempt id at an engine', (t) => {
  t.not(attemptOf(ownedBy('a'), []).id, attemptOf(ownedBy('b'), []).id);
});
