import type { Socket } from 'node:net';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { CallerClient, ConnectionLost } from '@ragwortrudder/client';
import { SeededRandom } from '@ragwortrudder/core';
import { readEventSource } from '../../packages/client/src/node/event-source.ts';
import { NodeHttpClient } from '../../packages/client/src/node/node-http-client.ts';
import { INVALID_STATUSES } from '../core/invalid-statuses.ts';
import { resetResponse } from '../core/reset-response.ts';
import { serveRaw } from '../core/serve-raw.ts';

const EVENT_STREAM = 'Content-Type: text/event-stream\r\n';
const ACCEPTED = 'id: 1-1\nevent: accepted\ndata: {"id":"r1.a.b.c"}\n\n';
const DONE = 'id: 1-2\nevent: done\ndata: {"tokens":0}\n\n';
const PROBLEM = JSON.stringify({
  type: 'about:blank',
  title: 'refused',
  status: 400,
  detail: 'no',
  code: 'refused',
  retryable: false,
  notRun: true,
});

async function readStream(
  t: ExecutionContext,
  answer: (socket: Socket) => void,
): Promise<readonly string[]> {
  const events = readEventSource({
    node: await serveRaw(t, answer),
    ...{ path: '/x', method: 'GET', headers: {}, connectMs: 1_000, idleTimeoutMs: 5_000 },
  });
  const types: string[] = [];
  for await (const { type } of events) types.push(type);
  return types;
}

async function call(t: ExecutionContext, answer: (socket: Socket) => void): Promise<unknown> {
  const nodes = [await serveRaw(t, answer)];
  return new NodeHttpClient({ nodes, key: 'k' }).call({ method: 'GET', path: '/x' });
}

// Guards against taking a stream that was cut for one that has ended.
test('a stream without framing whose connection is reset is lost', async (t) => {
  const reading = readStream(t, resetResponse(ACCEPTED, { fields: EVENT_STREAM }));
  await t.throwsAsync(reading, { instanceOf: ConnectionLost });
});

// Guards against taking a part of an answer, or of a refusal, for the whole one.
test('an answer or refusal without framing whose connection is reset is lost', async (t) => {
  await t.throwsAsync(call(t, resetResponse('{}')), { instanceOf: ConnectionLost });
  const refusal = resetResponse(PROBLEM, { status: '400 Bad' });
  await t.throwsAsync(call(t, refusal), { instanceOf: ConnectionLost });
  await t.throwsAsync(readStream(t, refusal), { instanceOf: ConnectionLost });
});

// Guards against reporting a finished answer as failed.
test('an answer whose connection is reset after its final event is complete', async (t) => {
  const node = await serveRaw(t, resetResponse(ACCEPTED + DONE, { fields: EVENT_STREAM }));
  const client = new CallerClient({ nodes: [node], key: 'k', random: new SeededRandom(1) });
  const types: string[] = [];
  for await (const { type } of client.submit({ service: 's', body: {}, patienceMs: 0 })) {
    types.push(type);
  }
  t.deepEqual(types, ['accepted', 'done']);
});

// Guards against taking a status that HTTP does not define for a success, or for a refusal by the node.
test('an answer, refusal or stream with an invalid status is lost', async (t) => {
  const outcomes: string[] = [];
  for (const status of INVALID_STATUSES) {
    for (const body of ['{}', PROBLEM, ACCEPTED + DONE]) {
      const answer = (socket: Socket): void => {
        const length = `Content-Length: ${Buffer.byteLength(body)}`;
        socket.end(`HTTP/1.1 ${status} X\r\n${EVENT_STREAM}${length}\r\n\r\n${body}`);
      };
      for (const attempt of [call, readStream]) {
        const outcome: unknown = await attempt(t, answer).catch((error: unknown) => error);
        if (outcome instanceof ConnectionLost) continue;
        const kind = outcome instanceof Error ? outcome.name : 'success';
        outcomes.push(`${attempt.name} ${status} ${kind}`);
      }
    }
  }
  t.deepEqual(outcomes, []);
});
