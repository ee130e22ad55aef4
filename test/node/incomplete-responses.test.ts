import type { Socket } from 'node:net';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import type { Settings } from '@ragwortrudder/settings';
import { JsonClient } from '../../packages/node/src/node/http/json-client.ts';
import { ApplicationClient } from '../../packages/node/src/node/runners/application-client.ts';
import { ModelClient } from '../../packages/node/src/node/runners/model-client.ts';
import { RunnerClient } from '../../packages/node/src/node/runners/runner-client.ts';
import { EngineClient } from '../../packages/node/src/node/supply/engine-client.ts';
import { INVALID_STATUSES } from '../core/invalid-statuses.ts';
import { resetResponse } from '../core/reset-response.ts';
import { serveRaw } from '../core/serve-raw.ts';

type Answer = (socket: Socket) => void;
type Call = (t: ExecutionContext, answer: Answer) => Promise<unknown>;

const settings = { requests: { runnerConnectMs: 1_000 } } as unknown as Settings;
const TIMEOUT_MS = 5_000;

/** Calls whose failure is an error. */
const CALLS: Readonly<Record<string, { readonly call: Call; readonly body: string }>> = {
  'JSON call': {
    body: '{}',
    call: async (t, answer) => {
      const client = new JsonClient({ maxSockets: 1 });
      t.teardown(() => client.close());
      const address = await serveRaw(t, answer);
      return client.call({ address, path: '/x', body: '{}', timeoutMs: TIMEOUT_MS });
    },
  },
  'copy of a KV cache': {
    body: '{}',
    call: async (t, answer) => {
      const client = new RunnerClient(settings);
      t.teardown(() => client.close());
      const address = await serveRaw(t, answer);
      return client.moveKv({ from: address, to: address, requestId: 'r' });
    },
  },
  'state of an engine': {
    body: '{"state":{}}',
    call: async (t, answer) => {
      const client = new EngineClient();
      t.teardown(() => client.close());
      return client.state(await serveRaw(t, answer));
    },
  },
  generation: {
    body: 'data: {"type":"token","index":0,"text":"a"}\n\n',
    call: async (t, answer) => {
      const client = new ModelClient(settings);
      t.teardown(() => client.close());
      const generation = { requestId: 'r', prompt: 'a', generated: [], maxTokens: 2, priority: 0 };
      const { signal } = new AbortController();
      const address = await serveRaw(t, answer);
      const types: string[] = [];
      for await (const { type } of client.generate(address, generation, signal)) types.push(type);
      return types;
    },
  },
};

async function orderWith(t: ExecutionContext, answer: Answer): Promise<string> {
  const client = new EngineClient();
  t.teardown(() => client.close());
  const order = { fence: 1, state: 'serving' } as unknown as Parameters<EngineClient['order']>[1];
  return (await client.order(await serveRaw(t, answer), order)).kind;
}

async function operateWith(t: ExecutionContext, answer: Answer): Promise<string> {
  const client = new ApplicationClient(settings);
  t.teardown(() => client.close());
  const { kind } = await client.call({
    endpoint: await serveRaw(t, answer),
    ...{ key: 'k', operation: 'o', payload: {}, timeoutMs: TIMEOUT_MS },
    signal: new AbortController().signal,
  });
  return kind;
}

// Guards against taking a part of a response for the whole one.
test('a response without framing whose connection is reset is a failure of each call', async (t) => {
  const succeeded: string[] = [];
  for (const [name, { call, body }] of Object.entries(CALLS)) {
    await call(t, resetResponse(body)).then(
      () => succeeded.push(name),
      () => undefined,
    );
  }
  t.deepEqual(succeeded, []);
  t.is(await orderWith(t, resetResponse('{}')), 'failed');
});

// Guards against telling a caller that an operation completed, was refused or did not run on a part of a response.
test('the outcome of an operation is unknown if the connection of its answer is reset', async (t) => {
  t.is(await operateWith(t, resetResponse('{"result":1}')), 'unknown');
  t.is(await operateWith(t, resetResponse('{"notRun":true}', { status: '503 Busy' })), 'unknown');
  t.is(await operateWith(t, resetResponse('{}', { status: '400 Bad' })), 'unknown');
});

function answerWith(status: string, body: string): Answer {
  return (socket) => {
    socket.end(`HTTP/1.1 ${status} X\r\nContent-Length: ${body.length}\r\n\r\n${body}`);
  };
}

// Guards against taking a status that HTTP does not define for a success.
test('a response with an invalid status is a failure of each call', async (t) => {
  const succeeded: string[] = [];
  for (const status of INVALID_STATUSES) {
    for (const [name, { call, body }] of Object.entries(CALLS)) {
      await call(t, answerWith(status, body)).then(
        () => succeeded.push(`${name} ${status}`),
        () => undefined,
      );
    }
    const order = await orderWith(t, answerWith(status, '{}'));
    if (order !== 'failed') succeeded.push(`order ${status}`);
  }
  t.deepEqual(succeeded, []);
});

// Guards against telling a caller that an operation completed, failed or did not run on a status that says nothing.
test('the outcome of an operation with an invalid status is unknown', async (t) => {
  const outcomes: string[] = [];
  for (const status of INVALID_STATUSES) {
    for (const body of ['{"result":1}', '{"notRun":true}', '{}']) {
      const kind = await operateWith(t, answerWith(status, body));
      if (kind !== 'unknown') outcomes.push(`${status} ${body} ${kind}`);
    }
  }
  t.deepEqual(outcomes, []);
});
