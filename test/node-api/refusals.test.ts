import { connect } from 'node:net';
import type { Socket } from 'node:net';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { operations, problemsOfSchema } from './open-api.ts';
import { rawCall } from './raw-call.ts';
import { OPERATOR_KEY, TestNode, TENANT_KEY } from './test-node.ts';

const LIMITS = {
  bodyBytes: 2048,
  headerBytes: 2048,
  connections: 20,
  headerTimeoutMs: 300,
  bodyTimeoutMs: 300,
};
const node = await TestNode.start({ limits: LIMITS });

test.after.always(() => node.close());

interface Problem {
  readonly code: string;
  readonly retryable: boolean;
  readonly notRun: boolean;
}

interface ExpectedProblem {
  readonly status: number;
  readonly code: string;
  readonly retryable?: boolean;
}

function checkProblem(
  t: ExecutionContext,
  answer: { readonly status: number; readonly body: string },
  { status, code, retryable = false }: ExpectedProblem,
): void {
  t.is(answer.status, status, answer.body);
  const problem = JSON.parse(answer.body) as Problem;
  t.deepEqual(problemsOfSchema('Problem', problem), []);
  t.like(problem, { code, retryable, notRun: true });
}

/** Checks that a bad call is refused and counted while a valid request succeeds. */
async function checkRefusal(
  t: ExecutionContext,
  call: () => Promise<{ readonly status: number; readonly body: string }>,
  expected: ExpectedProblem,
): Promise<void> {
  const before = (await node.counter('refusals')).get(expected.code) ?? 0;
  const [answer] = await Promise.all([call(), node.checkServes()]);
  checkProblem(t, answer, expected);
  t.is((await node.counter('refusals')).get(expected.code), before + 1);
}

interface BadCall {
  readonly name: string;
  readonly method?: string;
  readonly path: string;
  readonly key?: string;
  readonly body?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly expected: ExpectedProblem;
}

const STOCK = '/v1/services/stock/requests';
const GOOD_BODY = JSON.stringify({ operation: 'stock' });
const NO_KEY: ExpectedProblem = { status: 401, code: 'unauthorized' };
const FORBIDDEN: ExpectedProblem = { status: 403, code: 'forbidden' };
const INVALID: ExpectedProblem = { status: 400, code: 'invalid-input' };

const BAD_CALLS: readonly BadCall[] = [
  {
    name: 'a body that is not JSON',
    path: STOCK,
    key: TENANT_KEY,
    body: '{"operation": ',
    expected: { status: 400, code: 'body-malformed' },
  },
  {
    name: 'a ticket that is not JSON',
    path: '/v1/tickets',
    key: OPERATOR_KEY,
    body: 'ticket',
    expected: { status: 400, code: 'body-malformed' },
  },
  { name: 'an empty body', path: STOCK, key: TENANT_KEY, body: '', expected: INVALID },
  {
    name: 'an unknown member',
    path: STOCK,
    key: TENANT_KEY,
    body: JSON.stringify({ operation: 'stock', tenant: 'other' }),
    expected: INVALID,
  },
  {
    name: 'an unknown member of a ticket',
    path: '/v1/tickets',
    key: OPERATOR_KEY,
    body: JSON.stringify({ number: 2, against: 1, tenants: { a: null }, extra: 1 }),
    expected: INVALID,
  },
  {
    name: 'a body above the limit',
    path: STOCK,
    key: TENANT_KEY,
    body: JSON.stringify({ operation: 'stock', payload: 'x'.repeat(LIMITS.bodyBytes) }),
    expected: { status: 413, code: 'body-too-large' },
  },
  {
    name: 'an encoded body',
    path: STOCK,
    key: TENANT_KEY,
    body: 'not gzip at all',
    headers: { 'content-encoding': 'gzip' },
    expected: { status: 415, code: 'content-unsupported' },
  },
  {
    name: 'a body that is not text',
    path: STOCK,
    key: TENANT_KEY,
    body: GOOD_BODY,
    headers: { 'content-type': 'application/octet-stream' },
    expected: { status: 415, code: 'content-unsupported' },
  },
  {
    name: 'a method that the path does not support',
    method: 'PUT',
    path: STOCK,
    key: TENANT_KEY,
    body: GOOD_BODY,
    expected: { status: 405, code: 'method-not-allowed' },
  },
  {
    name: 'an unknown path',
    path: '/v2/services',
    key: TENANT_KEY,
    body: GOOD_BODY,
    expected: { status: 404, code: 'path-unknown' },
  },
  {
    name: 'a path with a broken escape',
    path: '/v1/services/%zz/requests',
    key: TENANT_KEY,
    body: GOOD_BODY,
    expected: { status: 404, code: 'path-unknown' },
  },
  { name: 'no key', path: STOCK, body: GOOD_BODY, expected: NO_KEY },
  { name: 'a wrong key', path: STOCK, key: `${TENANT_KEY}x`, body: GOOD_BODY, expected: NO_KEY },
  {
    name: 'another scheme than Bearer',
    path: STOCK,
    headers: { authorization: 'Basic dGVuYW50OmtleQ==' },
    body: GOOD_BODY,
    expected: NO_KEY,
  },
  {
    name: "a tenant's key on a route of operators",
    method: 'GET',
    path: '/v1/status',
    key: TENANT_KEY,
    expected: FORBIDDEN,
  },
  {
    name: "an operator's key on a route of tenants",
    path: STOCK,
    key: OPERATOR_KEY,
    body: GOOD_BODY,
    expected: FORBIDDEN,
  },
  {
    name: 'headers above the limit',
    path: STOCK,
    key: TENANT_KEY,
    body: GOOD_BODY,
    headers: { 'x-padding': 'x'.repeat(LIMITS.headerBytes) },
    expected: { status: 431, code: 'header-too-large' },
  },
  {
    name: 'headers far above the limit',
    path: STOCK,
    key: TENANT_KEY,
    body: GOOD_BODY,
    headers: { 'x-padding': 'x'.repeat(3 * LIMITS.headerBytes) },
    expected: { status: 431, code: 'header-too-large' },
  },
];

for (const { name, method = 'POST', path, key, body, headers = {}, expected } of BAD_CALLS) {
  test.serial(`refuses ${name}`, async (t) => {
    const call = async (): Promise<{ readonly status: number; readonly body: string }> => {
      const content = body === undefined ? {} : { body };
      const answer = await node.call(path, { method, headers, ...content }, key);
      t.regex(answer.headers.get('content-type') ?? '', /^application\/problem\+json/);
      return { status: answer.status, body: await answer.text() };
    };
    await checkRefusal(t, call, expected);
  });
}

test.serial('refuses data that is not HTTP', async (t) => {
  const text = 'HELO node\r\n\r\n';
  const expected = { status: 400, code: 'request-malformed' };
  await checkRefusal(t, () => rawCall({ port: node.callersPort, text }), expected);
});

const TOO_SLOW: ExpectedProblem = { status: 408, code: 'request-timeout', retryable: true };

test.serial('refuses a caller that does not complete its headers in time', async (t) => {
  const text = 'POST /v1/keys HTTP/1.1\r\nhost: node\r\n';
  await checkRefusal(t, () => rawCall({ port: node.callersPort, text }), TOO_SLOW);
});

test.serial('refuses a caller that does not complete its body in time', async (t) => {
  const head = `POST ${STOCK} HTTP/1.1\r\nhost: node\r\nauthorization: Bearer ${TENANT_KEY}\r\n`;
  const text = `${head}content-length: 100\r\n\r\n{"operation":`;
  const runs = node.stock.runs().length;
  await checkRefusal(t, () => rawCall({ port: node.callersPort, text }), TOO_SLOW);
  t.is(node.stock.runs().length, runs + 1, 'only the valid request ran');
});

test.serial('reads a body without a content type as JSON', async (t) => {
  const head = `POST ${STOCK} HTTP/1.1\r\nhost: node\r\nauthorization: Bearer ${TENANT_KEY}\r\n`;
  const text = `${head}connection: close\r\ncontent-length: ${GOOD_BODY.length}\r\n\r\n${GOOD_BODY}`;
  t.is((await rawCall({ port: node.callersPort, text })).status, 200);
});

test.serial('refuses connections above the limit, and serves those below it', async (t) => {
  const open = async (): Promise<Socket> =>
    new Promise((resolve) => {
      const socket = connect(node.callersPort, '127.0.0.1', () => {
        resolve(socket);
      });
      socket.on('error', () => undefined);
    });
  const sockets = await Promise.all(Array.from({ length: LIMITS.connections }, open));
  const text = 'GET /ready HTTP/1.1\r\nhost: node\r\n\r\n';
  const answer = await rawCall({ port: node.callersPort, text });
  for (const socket of sockets) socket.destroy();
  checkProblem(t, answer, { status: 503, code: 'connections-exceeded', retryable: true });
  t.regex(answer.headers, /retry-after: \d+/);
  await node.checkServes();
});

test.serial('each status of a refusal is documented for the operation', (t) => {
  const documented = operations.get('POST /v1/services/{service}/requests')?.responses ?? {};
  for (const { expected } of BAD_CALLS)
    t.true(String(expected.status) in documented, expected.code);
});

test.serial('refuses and counts peer calls without the peer key', async (t) => {
  const call = (key: string): Promise<Response> =>
    fetch(`http://127.0.0.1:${node.peersPort}/rpc`, {
      method: 'POST',
      body: JSON.stringify({ jsonrpc: '2.0', id: 1, method: 'membership.probe', params: {} }),
      headers: { authorization: `Bearer ${key}` },
    });
  for (const key of ['wrong', TENANT_KEY, OPERATOR_KEY]) {
    const answer = await call(key);
    checkProblem(t, { status: answer.status, body: await answer.text() }, NO_KEY);
  }
  t.is((await node.counter('peer_refusals')).get('unauthorized'), 3);
  await node.checkServes();
});
