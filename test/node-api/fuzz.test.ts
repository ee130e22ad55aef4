import fc from 'fast-check';
import test from 'ava';
import { problemsOfSchema } from './open-api.ts';
import { rawCall } from './raw-call.ts';
import { OPERATOR_KEY, PEER_KEY, TestNode, TENANT_KEY } from './test-node.ts';

const SEED = 20_261;
const SERVER_ERROR = 500;
const UNAVAILABLE = 503;
const CLIENT_ERROR = 400;
const WAIT_MS = 300;

const node = await TestNode.start({
  limits: { bodyBytes: 4096, headerTimeoutMs: 200, bodyTimeoutMs: 200 },
});
const crashes: unknown[] = [];
process.on('uncaughtException', (error) => crashes.push(error));
process.on('unhandledRejection', (error) => crashes.push(error));

test.after.always(() => node.close());

const methods = fc.constantFrom('GET', 'POST', 'PUT', 'DELETE', 'PATCH', 'OPTIONS', 'HEAD');
const segment = fc.oneof(
  fc.constantFrom('stock', 'quotes', 'orders', '1', '%2e%2e', '%zz', '%00', '..', 'é'),
  fc.string({ minLength: 1, maxLength: 20 }),
);
const paths = fc.oneof(
  segment.map((name) => `/v1/services/${name}/requests`),
  segment.map((id) => `/v1/requests/${id}/events`),
  segment.map((id) => `/v1/requests/${id}`),
  segment.map((key) => `/v1/keys/${key}`),
  segment.map((number) => `/v1/tickets/${number}`),
  fc.constantFrom('/v1/tickets', '/v1/keys', '/v1/status', '/metrics', '/ready', '/rpc', '/', '*'),
  fc.webPath(),
);
const keys = fc.constantFrom(undefined, 'nonsense', TENANT_KEY, OPERATOR_KEY, PEER_KEY);
const headers = fc.dictionary(
  fc.constantFrom(
    'idempotency-key',
    'last-event-id',
    'accept',
    'content-type',
    'content-encoding',
    'content-md5',
    'expect',
    'upgrade',
    'transfer-encoding',
  ),
  fc.oneof(
    fc.constantFrom('application/json', 'gzip', 'chunked', '1-1', '9-99999999999', '-1--1'),
    fc.string({ maxLength: 40 }),
  ),
  { maxKeys: 3 },
);
const requestBody = fc.record(
  {
    class: fc.oneof(fc.constantFrom('interactive', 'batch'), fc.string()),
    deadlineMs: fc.oneof(fc.constantFrom(200, -1), fc.double()),
    prompt: fc.string(),
    maxTokens: fc.constantFrom(1, 2, 0, 1e9),
    operation: fc.string(),
    payload: fc.jsonValue(),
  },
  { requiredKeys: [] },
);
const ticketBody = fc.record(
  {
    number: fc.oneof(fc.nat(9), fc.double()),
    against: fc.nat(9),
    services: fc.dictionary(fc.constantFrom('quotes', '__proto__', 'x'), fc.jsonValue()),
    tenants: fc.dictionary(fc.constantFrom('acme', '__proto__'), fc.jsonValue()),
    domains: fc.array(fc.string()),
  },
  { requiredKeys: [] },
);
const bodies = fc.oneof(
  fc.constant(''),
  fc.string({ maxLength: 100 }),
  fc.constant('['.repeat(3000)),
  fc.jsonValue().map((value) => JSON.stringify(value)),
  requestBody.map((value) => JSON.stringify(value)),
  ticketBody.map((value) => JSON.stringify(value)),
);

interface Call {
  readonly method: string;
  readonly path: string;
  readonly key: string | undefined;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

const calls: fc.Arbitrary<Call> = fc.record({
  method: methods,
  path: paths,
  key: keys,
  headers,
  body: bodies,
});

function formatRequest({ method, path, key, headers: fields, body }: Call): string {
  const lines = [
    `${method} ${path} HTTP/1.1`,
    'host: node',
    'connection: close',
    `content-length: ${Buffer.byteLength(body)}`,
    ...(key === undefined ? [] : [`authorization: Bearer ${key}`]),
    ...Object.entries(fields).map(([name, value]) => `${name}: ${value}`),
  ];
  return `${lines.join('\r\n')}\r\n\r\n${body}`;
}

async function total(name: string): Promise<number> {
  return [...(await node.counter(name)).values()].reduce((sum, value) => sum + value, 0);
}

test.serial(
  'any call to the callers port gets a response or a counted problem and does not crash the node',
  async (t) => {
    await fc.assert(
      fc.asyncProperty(calls, async (call) => {
        const before = await total('refusals');
        const text = formatRequest(call);
        const answer = await rawCall({ port: node.callersPort, text, waitMs: WAIT_MS });
        const { status, body } = answer;
        t.true(
          Number.isNaN(status) ||
            status < SERVER_ERROR ||
            status === UNAVAILABLE ||
            isRequestOutcome(answer),
          text,
        );
        if (status >= CLIENT_ERROR && body !== '' && !call.path.startsWith('/ready')) {
          t.deepEqual(problemsOfSchema('Problem', JSON.parse(body)), [], text);
          t.true((await total('refusals')) > before, text);
        }
        t.deepEqual(crashes, []);
      }),
      { seed: SEED, numRuns: 200 },
    );
    await node.checkServes();
  },
);

/** True for the outcome of an accepted request that failed at a runner or by its deadline. */
function isRequestOutcome({ body }: { readonly body: string }): boolean {
  return /"code":"(?:deadline-passed|outcome-unknown|operation-failed|runner-failed)"/.test(body);
}

test.serial(
  'any bytes get a response or a closed connection and do not crash the node',
  async (t) => {
    await fc.assert(
      fc.asyncProperty(
        fc.constantFrom('callers', 'peers'),
        fc.string({ maxLength: 200 }),
        async (port, text) => {
          const number = port === 'callers' ? node.callersPort : node.peersPort;
          const { status } = await rawCall({
            port: number,
            text: `${text}\r\n\r\n`,
            waitMs: WAIT_MS,
          });
          t.true(Number.isNaN(status) || status < SERVER_ERROR, text);
          t.deepEqual(crashes, []);
        },
      ),
      { seed: SEED, numRuns: 50 },
    );
    await node.checkServes();
  },
);

const rpcMethods = fc.constantFrom(
  'keys.find',
  'log.prefix',
  'membership.probe',
  'membership.probeThrough',
  'replicas.update',
  'requests.events',
  'requests.handOver',
  'requests.submit',
  'toString',
  'none',
);
const rpcParams = fc.oneof(
  fc.jsonValue(),
  fc.record(
    {
      tenant: fc.string(),
      key: fc.string(),
      id: fc.string(),
      from: fc.integer(),
      limit: fc.integer(),
      updates: fc.array(fc.jsonValue(), { maxLength: 3 }),
      copy: fc.jsonValue(),
      waitMs: fc.nat(10),
      after: fc.record({ epoch: fc.nat(3), number: fc.nat(3) }),
    },
    { requiredKeys: [] },
  ),
);
const rpcBodies = fc.oneof(
  fc.string(),
  fc.jsonValue().map((value) => JSON.stringify(value)),
  fc
    .record({ method: rpcMethods, params: rpcParams })
    .map((message) => JSON.stringify({ jsonrpc: '2.0', id: 1, ...message })),
);

test.serial(
  'any message with the peer key gets a response and does not crash the node',
  async (t) => {
    await fc.assert(
      fc.asyncProperty(rpcBodies, async (body) => {
        const call: Call = { method: 'POST', path: '/rpc', key: PEER_KEY, headers: {}, body };
        const { status } = await rawCall({
          port: node.peersPort,
          text: formatRequest(call),
          waitMs: WAIT_MS,
        });
        t.true(Number.isNaN(status) || status < SERVER_ERROR, body);
        t.deepEqual(crashes, []);
      }),
      { seed: SEED, numRuns: 200 },
    );
    await node.checkServes();
  },
);
