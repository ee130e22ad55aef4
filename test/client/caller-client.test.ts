import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { CallerClient, ConnectionLost, RequestRefused } from '@ragwortrudder/client';
import type { AnswerEvent } from '@ragwortrudder/client';
import { SeededRandom } from '@ragwortrudder/core';

type Handler = (request: IncomingMessage, response: ServerResponse) => void;

const ID = 'r1.a.b.c';
const IDLE_TIMEOUT_MS = 200;

/** Serves each call with the next of `handlers`; the last one serves all further calls. */
async function serve(
  t: ExecutionContext,
  handlers: readonly Handler[],
): Promise<{ readonly client: CallerClient; readonly calls: readonly IncomingMessage[] }> {
  const calls: IncomingMessage[] = [];
  const server: Server = createServer((request, response) => {
    const handler = handlers[Math.min(calls.length, handlers.length - 1)];
    calls.push(request);
    handler?.(request, response);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  const node = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const random = new SeededRandom(1);
  const client = new CallerClient({
    nodes: [node],
    key: 'k',
    random,
    idleTimeoutMs: IDLE_TIMEOUT_MS,
  });
  return { client, calls };
}

function event(number: number, type: string, data: unknown, epoch = 1): string {
  return `id: ${epoch}-${number}\nevent: ${type}\ndata: ${JSON.stringify(data)}\n\n`;
}

const ACCEPTED = event(1, 'accepted', { id: ID });
const TOKEN = event(2, 'token', { index: 0, text: 'one' });
const DONE = event(3, 'done', { tokens: 1 });

/** Sends events and then ends the stream, breaks the connection, or stays silent. */
function stream(text: string, end: 'end' | 'break' | 'silent'): Handler {
  return (_request, response) => {
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    response.write(text);
    if (end === 'end') response.end();
    if (end === 'break') setTimeout(() => response.destroy(), 20);
  };
}

function refuse(status: number, problem: Readonly<Record<string, unknown>>): Handler {
  return (_request, response) => {
    response.writeHead(status, { 'content-type': 'application/problem+json' });
    const common = { title: 'refused', status, detail: '', notRun: true };
    response.end(JSON.stringify({ ...common, ...problem }));
  };
}

async function collectAnswer(
  client: CallerClient,
  patienceMs = 5000,
): Promise<readonly AnswerEvent[]> {
  const events: AnswerEvent[] = [];
  const request = { service: 'a/b', body: { prompt: 'a' }, patienceMs };
  for await (const item of client.submit(request)) events.push(item);
  return events;
}

const types = (events: readonly AnswerEvent[]): readonly string[] => events.map(({ type }) => type);
const paths = (calls: readonly IncomingMessage[]): readonly string[] =>
  calls.map(({ method, url }) => `${method ?? ''} ${url ?? ''}`);

const COMPLETE_ANSWER = ['accepted', 'token', 'done'];
const SUBMIT = 'POST /v1/services/a%2Fb/requests';
const RESUME = `GET /v1/requests/${ID}/events`;

test('resumes after the last event when the connection breaks, and drops duplicate events', async (t) => {
  const { client, calls } = await serve(t, [
    stream(ACCEPTED + TOKEN, 'break'),
    stream(TOKEN + DONE, 'end'),
  ]);
  t.deepEqual(types(await collectAnswer(client)), COMPLETE_ANSWER);
  t.deepEqual(paths(calls), [SUBMIT, RESUME]);
  t.is(calls[1]?.headers['last-event-id'], '1-2');
});

// Guards against yielding an answer with a piece missing, or an event twice, as the whole one.
test('resumes after the last event when an event is missing or has no number', async (t) => {
  for (const next of [DONE, TOKEN.replace('id: 1-2', 'id: '), TOKEN.replace('id: 1-2\n', '')]) {
    const { client, calls } = await serve(t, [
      stream(ACCEPTED + next, 'end'),
      stream(TOKEN + DONE, 'end'),
    ]);
    t.deepEqual(types(await collectAnswer(client)), COMPLETE_ANSWER);
    t.deepEqual(paths(calls), [SUBMIT, RESUME]);
    t.is(calls[1]?.headers['last-event-id'], '1-1');
  }
});

// Guards against joining the pieces of two runs into one answer.
test('resumes elsewhere when a node goes on with the events of another run', async (t) => {
  const foreign = [
    // From the start, in spite of Last-Event-Id.
    event(1, 'accepted', { id: ID }, 2) + event(2, 'token', {}, 2) + event(3, 'done', {}, 2),
    // After the last event, in a log that has been superseded.
    event(3, 'done', {}, 0),
  ];
  for (const text of foreign) {
    const { client, calls } = await serve(t, [
      stream(ACCEPTED + TOKEN, 'break'),
      stream(text, 'end'),
      stream(DONE, 'end'),
    ]);
    const answer = await collectAnswer(client);
    t.deepEqual(
      answer.map(({ id }) => id),
      ['1-1', '1-2', '1-3'],
    );
    t.is(calls[2]?.headers['last-event-id'], '1-2');
  }
});

// Guards against taking a success without a stream for the end of an answer.
test('resumes when a node answers without a stream', async (t) => {
  const others: readonly Handler[] = [
    (_request, response) => response.writeHead(204).end(),
    (_request, response) => response.writeHead(200, { 'content-length': 0 }).end(),
    (_request, response) => response.writeHead(200).end('{"code":"failed"}\n\n'),
    stream('HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\noops\n\n', 'end'),
  ];
  for (const other of others) {
    const { client } = await serve(t, [
      stream(ACCEPTED + TOKEN, 'break'),
      other,
      stream(DONE, 'end'),
    ]);
    t.deepEqual(types(await collectAnswer(client)), COMPLETE_ANSWER);
  }
});

// Guards against taking a stream that is cut inside its last event for a finished one.
test('resumes when a stream without framing ends inside an event', async (t) => {
  const { client, calls } = await serve(t, [
    (_request, response) => {
      response.removeHeader('content-length');
      response.removeHeader('transfer-encoding');
      response.writeHead(200, { 'content-type': 'text/event-stream' });
      response.end(ACCEPTED + TOKEN + DONE.slice(0, -1));
    },
    stream(DONE, 'end'),
  ]);
  t.deepEqual(types(await collectAnswer(client)), COMPLETE_ANSWER);
  t.is(calls[1]?.headers['last-event-id'], '1-2');
});

test('resumes when a stream is idle for too long without having ended', async (t) => {
  const { client, calls } = await serve(t, [
    stream(ACCEPTED + TOKEN, 'silent'),
    stream(DONE, 'end'),
  ]);
  t.deepEqual(types(await collectAnswer(client)), COMPLETE_ANSWER);
  t.deepEqual(paths(calls), [SUBMIT, RESUME]);
});

test('resumes when the node interrupts the answer', async (t) => {
  const problem = { title: 'moved', status: 409, detail: '', code: 'superseded' };
  const data = JSON.stringify({ ...problem, retryable: true, notRun: false, retryAfterMs: 0 });
  const { client, calls } = await serve(t, [
    stream(`${ACCEPTED}event: interrupted\ndata: ${data}\n\n`, 'end'),
    stream(event(2, 'token', { index: 0, text: 'one' }, 2) + event(3, 'done', {}, 2), 'end'),
  ]);
  t.deepEqual(types(await collectAnswer(client)), COMPLETE_ANSWER);
  t.deepEqual(paths(calls), [SUBMIT, RESUME]);
});

test('submits again after a retryable refusal, but not after a final one', async (t) => {
  const busy = { code: 'overloaded', retryable: true, retryAfterMs: 10 };
  const transient = await serve(t, [refuse(429, busy), stream(ACCEPTED + TOKEN + DONE, 'end')]);
  t.deepEqual(types(await collectAnswer(transient.client)), COMPLETE_ANSWER);
  t.is(transient.calls.length, 2);
  const final = await serve(t, [refuse(400, { code: 'invalid-input', retryable: false })]);
  const refusal = await t.throwsAsync(collectAnswer(final.client), { instanceOf: RequestRefused });
  t.is(refusal.code, 'invalid-input');
  t.is(final.calls.length, 1);
});

test('fails when the retry time has passed', async (t) => {
  const { client } = await serve(t, [stream('', 'break')]);
  await t.throwsAsync(collectAnswer(client, 300), { instanceOf: ConnectionLost });
});

test('an answer that is not JSON counts as a lost connection', async (t) => {
  const { client } = await serve(t, [
    (_request, response) => response.writeHead(502).end('<html>bad gateway</html>'),
  ]);
  await t.throwsAsync(client.showKey('k'), { instanceOf: ConnectionLost });
});

// Guards against buffering an event that a node never ends.
test('an event without end breaks the connection off, and the answer is resumed', async (t) => {
  t.timeout(20_000);
  const endless: Handler = (_request, response) => {
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    response.write(`${ACCEPTED}data: `);
    const timer = setInterval(() => response.write('x'.repeat(64 * 1024)), 1);
    response.on('close', () => {
      clearInterval(timer);
    });
  };
  const { client, calls } = await serve(t, [endless, stream(TOKEN + DONE, 'end')]);
  const events = await collectAnswer(client);
  t.is(events.at(-1)?.type, 'done');
  t.is(calls.length, 2);
});
