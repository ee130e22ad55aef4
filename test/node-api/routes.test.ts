import test from 'ava';
import { operations, problemsOfAnswer, problemsOfSchema } from './open-api.ts';
import { OPERATOR_KEY, OTHER_TENANT_KEY, TestNode, TENANT_KEY } from './test-node.ts';

const node = await TestNode.start();
const calledOperations = new Set<string>();

test.after.always(() => node.close());

interface RouteCheck {
  readonly operation: string;
  readonly path: string;
  readonly key?: string;
  readonly status?: number;
  readonly body?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
}

/** Calls the node and returns how its response differs from the OpenAPI document. */
async function documentMismatches(check: RouteCheck): Promise<readonly string[]> {
  const { operation, path, key, status = 200, body, headers = {} } = check;
  const [method = ''] = operation.split(' ');
  const content = body === undefined ? {} : { body: JSON.stringify(body) };
  const answer = await node.call(path, { method, headers, ...content }, key);
  calledOperations.add(operation);
  const wrongStatus = answer.status === status ? [] : [`status ${answer.status}`];
  return [...wrongStatus, ...(await problemsOfAnswer(operation, answer))];
}

const HTTP_FORBIDDEN = 403;
const HTTP_NOT_FOUND = 404;
const SUBMIT = 'POST /v1/services/{service}/requests';
const JSON_ANSWER = { accept: 'application/json' };
const REORDER = { operation: 'reorder', payload: { soap: 24 } };

interface StreamEvent {
  readonly id: string;
  readonly type: string;
  readonly data: unknown;
}

function eventsOf(text: string): readonly StreamEvent[] {
  const field = (block: string, name: string): string =>
    new RegExp(`^${name}: (.*)$`, 'm').exec(block)?.[1] ?? '';
  return text
    .split('\n\n')
    .filter((block) => block.includes('event: '))
    .map((block) => ({
      id: field(block, 'id'),
      type: field(block, 'event'),
      data: JSON.parse(field(block, 'data')) as unknown,
    }));
}

const SCHEMAS: Readonly<Record<string, string>> = {
  accepted: 'Accepted',
  token: 'Token',
  result: 'Result',
  done: 'Done',
  failed: 'Failed',
};

test.serial('responses to tenants match the OpenAPI document', async (t) => {
  const checks: readonly RouteCheck[] = [
    {
      operation: SUBMIT,
      path: '/v1/services/quotes/requests',
      body: { prompt: 'a b', maxTokens: 3 },
    },
    {
      operation: SUBMIT,
      path: '/v1/services/quotes/requests',
      body: { prompt: 'a b', maxTokens: 3 },
      headers: JSON_ANSWER,
    },
    { operation: SUBMIT, path: '/v1/services/stock/requests', body: REORDER, headers: JSON_ANSWER },
    {
      operation: SUBMIT,
      path: '/v1/services/orders/requests',
      body: REORDER,
      headers: { ...JSON_ANSWER, 'idempotency-key': 'reorder-1' },
    },
    { operation: SUBMIT, path: '/v1/services/orders/requests', body: REORDER, status: 400 },
    {
      operation: SUBMIT,
      path: '/v1/services/orders/requests',
      body: { ...REORDER, operation: 'other' },
      headers: { 'idempotency-key': 'reorder-1' },
      status: 422,
    },
    {
      operation: SUBMIT,
      path: '/v1/services/orders/requests',
      body: REORDER,
      headers: { 'idempotency-key': 'k'.repeat(256) },
      status: 400,
    },
    { operation: SUBMIT, path: '/v1/services/none/requests', body: REORDER, status: 404 },
    { operation: SUBMIT, path: '/v1/services/stock/requests', body: { prompt: 'a' }, status: 400 },
    {
      operation: SUBMIT,
      path: '/v1/services/stock/requests',
      body: { ...REORDER, class: 'urgent' },
      status: 400,
    },
    { operation: 'GET /v1/keys/{key}', path: '/v1/keys/reorder-1' },
    { operation: 'GET /v1/keys/{key}', path: '/v1/keys/never-used' },
    { operation: 'POST /v1/keys', path: '/v1/keys' },
    { operation: 'DELETE /v1/requests/{id}', path: '/v1/requests/r1.none.1.1' },
    { operation: 'GET /v1/requests/{id}/events', path: '/v1/requests/none/events', status: 404 },
    {
      operation: 'GET /v1/requests/{id}/events',
      path: '/v1/requests/none/events',
      headers: { 'last-event-id': 'nonsense' },
      status: 400,
    },
  ];
  for (const check of checks) {
    const name = `${check.operation} ${check.path} ${JSON.stringify(check.body)}`;
    t.deepEqual(await documentMismatches({ key: TENANT_KEY, ...check }), [], name);
  }
});

test.serial('streams numbered events and resumes after Last-Event-ID', async (t) => {
  const body = JSON.stringify({ prompt: 'one two', maxTokens: 4 });
  const path = '/v1/services/quotes/requests';
  const answer = await node.call(path, { method: 'POST', body }, TENANT_KEY);
  const events = eventsOf(await answer.text());
  t.deepEqual(
    events.map(({ type }) => type),
    ['accepted', 'token', 'token', 'token', 'token', 'done'],
  );
  const [epoch = ''] = events[0]?.id.split('-') ?? [];
  t.deepEqual(
    events.map(({ id }) => id),
    events.map((_, index) => `${epoch}-${index + 1}`),
  );
  for (const { type, data } of events) {
    t.deepEqual(problemsOfSchema(SCHEMAS[type] ?? '', data), [], type);
  }
  const { id } = events[0]?.data as { readonly id: string };
  const headers = { 'last-event-id': events[2]?.id ?? '' };
  calledOperations.add('GET /v1/requests/{id}/events');
  const rest = await node.call(`/v1/requests/${id}/events`, { headers }, TENANT_KEY);
  t.deepEqual(eventsOf(await rest.text()), events.slice(3));
});

test.serial('runs a request with one key once and repeats its recorded outcome', async (t) => {
  const before = node.orders.runs().length;
  const call = async (): Promise<string> => {
    const answer = await node.call(
      '/v1/services/orders/requests',
      {
        method: 'POST',
        body: JSON.stringify(REORDER),
        headers: { ...JSON_ANSWER, 'idempotency-key': 'reorder-2' },
      },
      TENANT_KEY,
    );
    return JSON.stringify(((await answer.json()) as { readonly result: unknown }).result);
  };
  const first = await call();
  t.is(await call(), first);
  t.is(node.orders.runs().length, before + 1);
});

test.serial(
  'responses to operators and the load balancer match the OpenAPI document',
  async (t) => {
    const ticket = {
      number: 2,
      against: 1,
      tenants: { third: { weight: 1, maxConcurrent: 1, maxQueued: 1 } },
    };
    const checks: readonly RouteCheck[] = [
      { operation: 'POST /v1/tickets', path: '/v1/tickets', body: ticket, status: 201 },
      { operation: 'POST /v1/tickets', path: '/v1/tickets', body: ticket, status: 201 },
      {
        operation: 'POST /v1/tickets',
        path: '/v1/tickets',
        body: { ...ticket, tenants: { third: null } },
        status: 409,
      },
      { operation: 'POST /v1/tickets', path: '/v1/tickets', body: { number: 3 }, status: 400 },
      {
        operation: 'POST /v1/tickets',
        path: '/v1/tickets',
        body: { ...ticket, number: 3, against: 0, tenants: { third: null } },
        status: 409,
      },
      { operation: 'GET /v1/tickets', path: '/v1/tickets' },
      { operation: 'GET /v1/tickets/{number}', path: '/v1/tickets/2' },
      { operation: 'GET /v1/tickets/{number}', path: '/v1/tickets/3' },
      { operation: 'GET /v1/tickets/{number}', path: '/v1/tickets/99' },
      { operation: 'GET /v1/tickets/{number}', path: '/v1/tickets/none', status: 404 },
      { operation: 'GET /v1/status', path: '/v1/status' },
      { operation: 'GET /metrics', path: '/metrics' },
      { operation: 'GET /ready', path: '/ready' },
    ];
    for (const check of checks) {
      const name = `${check.operation} ${check.path} ${JSON.stringify(check.body)}`;
      t.deepEqual(await documentMismatches({ key: OPERATOR_KEY, ...check }), [], name);
    }
  },
);

test.serial("a tenant cannot read, cancel or look up another tenant's requests", async (t) => {
  const path = '/v1/services/orders/requests';
  const body = JSON.stringify(REORDER);
  const headers = { 'idempotency-key': 'reorder-3' };
  const answer = await node.call(path, { method: 'POST', body, headers }, TENANT_KEY);
  const { id } = eventsOf(await answer.text())[0]?.data as { readonly id: string };
  const resumed = await node.call(`/v1/requests/${id}/events`, {}, OTHER_TENANT_KEY);
  t.true([HTTP_FORBIDDEN, HTTP_NOT_FOUND].includes(resumed.status));
  t.deepEqual(await problemsOfAnswer('GET /v1/requests/{id}/events', resumed), []);
  const cancel = await node.call(`/v1/requests/${id}`, { method: 'DELETE' }, OTHER_TENANT_KEY);
  t.notRegex(await cancel.text(), /"cancelled":true/);
  const key = await node.call('/v1/keys/reorder-3', {}, OTHER_TENANT_KEY);
  t.regex(await key.text(), /"word":"absent"/);
  const runs = node.orders.runs().length;
  const own = await node.call(path, { method: 'POST', body, headers }, OTHER_TENANT_KEY);
  t.regex(await own.text(), /event: done/);
  t.is(node.orders.runs().length, runs + 1, 'keys of different tenants are independent');
});

test.serial('status, metrics and tickets contain no API key', async (t) => {
  for (const path of ['/v1/status', '/metrics', '/v1/tickets']) {
    const text = await (await node.call(path, {}, OPERATOR_KEY)).text();
    t.notRegex(text, /key-of-the|key-of-tests/, path);
  }
});

test.serial('every documented operation was called', (t) => {
  t.deepEqual(
    [...operations.keys()].filter((name) => !calledOperations.has(name)),
    [],
  );
});
