import { readFileSync } from 'node:fs';
import test from 'ava';
import {
  PlatformCatalogCodec,
  PlatformDialect,
  PlatformSettings,
} from '@ragwortrudder/platform-adapter';
import { gatewaySettingsOf } from '../../platform/src/utils/gateway-settings-of.ts';

const codec = new PlatformCatalogCodec();
const dialect = new PlatformDialect();

function bytes(value: unknown): Buffer {
  return Buffer.from(JSON.stringify(value));
}

const ENTRY = {
  service: 's',
  address: '10.0.0.1:80',
  zone: 'a',
  version: 'v1',
  slots: 8,
  state: 'ready',
  cold_remaining_ms: 0,
  born: 17,
};

test('an invalid runner entry is ignored', (t) => {
  t.truthy(codec.decodeRunner('r', bytes(ENTRY)));
  for (const change of [
    { state: 'odd' },
    { slots: 'eight' },
    { address: 'nowhere' },
    { service: undefined },
    { version: 3 },
  ]) {
    t.is(codec.decodeRunner('r', bytes({ ...ENTRY, ...change })), undefined);
  }
  t.is(codec.decodeRunner('r', Buffer.from([0xff, 0x00])), undefined);
});

test('the draining state and the spot flag of a runner are decoded', (t) => {
  const entry = codec.decodeRunner(
    'r',
    bytes({ ...ENTRY, state: 'draining', spot: true, leaves_ms: 2_500 }),
  );
  t.like(entry, { id: 'r', isDraining: true, isSpot: true, bornMs: 17, failureDomain: 'a' });
});

test('a configuration record is decoded into the gateway’s configuration', (t) => {
  const configuration = codec.decodeConfiguration(
    bytes({
      version: 7,
      routes: [
        {
          name: 'r',
          host: 'h',
          path_prefix: '/a/',
          kind: 'streaming',
          timeout_ms: 15_000,
          target_latency_ms: 1_000,
          priority: 1,
          traffic_split: [{ service: 's', weight: 9 }],
          max_attempts: 1,
          stream_resume: true,
          gap_target_ms: 400,
        },
        {
          name: 'odd',
          host: 'h',
          path_prefix: '/b/',
          kind: 'new kind',
          timeout_ms: 1,
          service: 's',
        },
      ],
      services: [
        {
          name: 's',
          health_path: '/health',
          max_connections: 370,
          engine: { slots: 64, kv_capacity_tokens: 1_000 },
          scale_bounds: {
            min_replicas: 1,
            max_replicas: 4,
            startup_s: 4,
            spot_price: 0.18,
            zone_prices: { a: 0.85 },
          },
        },
      ],
      limits: { max_header_bytes: 1, max_body_bytes: 2, header_timeout_ms: 3, idle_timeout_ms: 4 },
      tenants: [
        {
          name: 'limited',
          api_keys: ['k'],
          unit: 'tokens',
          plain_tokens: 200,
          rate_per_s: 10,
          burst: 20,
        },
        { name: 'free', api_keys: [], rate_per_s: 0 },
      ],
    }),
  );
  t.like(configuration?.routes[0], {
    kind: 'stream',
    isResumable: true,
    maxGapMs: 400,
    targets: [{ service: 's', weight: 9 }],
  });
  t.is(configuration?.routes[1]?.kind, 'non-idempotent');
  t.like(configuration?.services[0]?.scaling, {
    startupMs: 4_000,
    spotPrice: 0.18,
    prices: { a: 0.85 },
  });
  t.deepEqual(configuration?.teams[0]?.limit, {
    perSecond: 10,
    burst: 20,
    unit: 'tokens',
    plainTokens: 200,
  });
  t.is(configuration?.teams[1]?.limit, undefined);
  t.is(codec.decodeConfiguration(bytes({ version: 7 })), undefined);
});

test('the cold limit and the usual cold time of a service are decoded, and invalid values ignored', (t) => {
  const record = (service: object): Buffer =>
    bytes({
      version: 1,
      routes: [],
      services: [{ name: 's', ...service }],
      limits: {
        max_header_bytes: 1,
        max_body_bytes: 1,
        header_timeout_ms: 1,
        idle_timeout_ms: 1,
      },
    });
  const serviceOf = (service: object): object | undefined =>
    codec.decodeConfiguration(record(service))?.services[0];
  const plain = serviceOf({});
  t.deepEqual(serviceOf({ warmup_s: 4, cold_per_s: 2.5 }), {
    ...plain,
    warmupMs: 4_000,
    coldPerS: 2.5,
  });
  for (const value of [0, -1, 1e300, 'many', null, [], {}]) {
    t.deepEqual(serviceOf({ warmup_s: value, cold_per_s: value }), plain);
    const paths = value === 0 ? [] : ['services.0.warmup_s', 'services.0.cold_per_s'];
    t.deepEqual(codec.ignoredIn(record({ warmup_s: value, cold_per_s: value })), paths);
  }
});

test('the home regions of routes and teams are decoded, and an invalid name allows no region', (t) => {
  const decode = (value: unknown): readonly unknown[] => {
    const record = bytes({
      version: 1,
      routes: [
        {
          name: 'r',
          host: 'h',
          path_prefix: '/',
          kind: 'x',
          timeout_ms: 1,
          allowed_regions: value,
        },
      ],
      services: [],
      tenants: [{ name: 't', allowed_regions: value }],
      limits: {
        max_header_bytes: 1,
        max_body_bytes: 1,
        header_timeout_ms: 1,
        idle_timeout_ms: 1,
      },
    });
    const { routes = [], teams = [] } = codec.decodeConfiguration(record) ?? {};
    const regions = [...routes, ...teams].map(({ allowedRegions }) => allowedRegions);
    return [...regions, codec.ignoredIn(record).length];
  };
  t.deepEqual(decode(['north', 'south']), [['north', 'south'], ['north', 'south'], 0]);
  for (const value of [undefined, []]) t.deepEqual(decode(value), [undefined, undefined, 0]);
  for (const value of ['north', 7, null, {}]) t.deepEqual(decode(value), [undefined, undefined, 2]);
  t.deepEqual(decode(['north', 7]), [['north', ''], ['north', ''], 2]);
  t.deepEqual(decode(['x'.repeat(257)]), [[''], [''], 2]);
});

test('the remaining cold time in a response is parsed, and invalid values say nothing', (t) => {
  const coldMsOf = (text: string): number | undefined =>
    dialect.parseResponseHead(200, ['Cold-Ms', text]).coldMs;
  t.is(coldMsOf('2500'), 2_500);
  t.is(coldMsOf('0'), 0);
  for (const text of ['', '-1', '1e3', 'soon', '9999999999']) t.is(coldMsOf(text), undefined);
  t.is(dialect.parseResponseHead(200, []).coldMs, undefined);
});

test('a request must have exactly one id', (t) => {
  const head = { method: 'GET', target: '/a?b', rawHeaders: ['Host', 'h:80', 'Request-Id', 'q'] };
  t.like(dialect.parseRequest(head, undefined), { id: 'q', host: 'h', path: '/a', target: '/a?b' });
  t.throws(() => dialect.parseRequest({ ...head, rawHeaders: ['Host', 'h'] }, undefined));
  t.throws(() =>
    dialect.parseRequest(
      { ...head, rawHeaders: [...head.rawHeaders, 'request-id', 'p'] },
      undefined,
    ),
  );
});

test('prompt tokens and prompt parts are parsed', (t) => {
  const rawHeaders = [
    'Host',
    'h',
    'Request-Id',
    'q',
    'Token-Usage',
    '1460,80',
    'Prompt-Prefix',
    '5c1e07a2:800,91bd3f06:410,e4402b7d:250',
  ];
  const request = dialect.parseRequest({ method: 'POST', target: '/', rawHeaders }, undefined);
  t.like(request, { promptTokens: 1_460, outputTokens: 80 });
  t.deepEqual(request.promptParts[1], { id: '91bd3f06', tokens: 410 });
  const malformed = [
    'Host',
    'h',
    'Request-Id',
    'q',
    'Token-Usage',
    'many',
    'Prompt-Prefix',
    ',:,zz:1',
  ];
  const unparsed = dialect.parseRequest(
    { method: 'POST', target: '/', rawHeaders: malformed },
    undefined,
  );
  t.is(unparsed.promptTokens, undefined);
  t.deepEqual(unparsed.promptParts, []);
});

test('a runner’s load and refusal are parsed, and connection headers are removed', (t) => {
  const head = dialect.parseResponseHead(503, [
    'Not-Executed',
    '1',
    'Server-Load',
    '3,1,8',
    'Connection',
    'close',
    'X',
    'y',
  ]);
  t.deepEqual(head.load, { running: 3, waiting: 1, slots: 8 });
  t.true(head.isNotExecuted);
  t.deepEqual(head.headers, ['Not-Executed', '1', 'Server-Load', '3,1,8', 'X', 'y']);
  t.is(dialect.parseResponseHead(200, ['Server-Load', 'a,b']).load, undefined);
});

// Guards against a response to another request that also has the id of this one.
test('the id of a response with several Request-Id headers is that of no request', (t) => {
  const idOf = (...ids: readonly string[]): string | undefined => {
    const headers = ids.flatMap((id) => ['Request-Id', id]);
    return dialect.parseResponseHead(503, headers).requestId;
  };
  t.is(idOf('a'), 'a');
  t.is(idOf('a', 'b'), 'a, b');
  t.is(idOf('', 'b'), ', b');
  t.is(idOf(), undefined);
});

test('the settings template contains every setting', (t) => {
  const template = readFileSync('deploy/settings.template', 'utf8');
  const filled = template
    .replace(/\{\{\^([\w.]+)\}\}.*?\{\{\/\1\}\}/g, '')
    .replace(/\{\{[#/][\w.]+\}\}/g, '')
    .replaceAll('{{zones|json}}', '{"a":"north"}')
    .replaceAll('{{cloud_api.duties|json}}', '["usage_report"]')
    .replace(/\{\{[\w.]*(address|front|readiness)\|json\}\}/g, '"127.0.0.1:80"')
    .replace(/\{\{[\w.]+\|json\}\}/g, '"x"')
    .replace('{{ip}}', '127.0.0.1')
    .replace(/\{\{[\w.]+\}\}/g, '7');
  const settings = PlatformSettings.parse(JSON.parse(filled));
  t.like(gatewaySettingsOf(settings), {
    graceMs: 7_000,
    duties: { reportsUsage: true, ordersRunners: false, usageWindowMs: 7_000 },
    listen: { callers: { host: '127.0.0.1', port: 80 } },
    node: { linkMbps: 7 },
    runnerHeartbeatMs: 7,
    coldRunners: { overage: 7, slack: 7 },
    region: 'x',
    domainRegions: { a: 'north' },
  });
});

test('orders of roll-outs are read, and their states written, in the words of the platform', (t) => {
  const codec = new PlatformCatalogCodec();
  const bytes = (record: object): Buffer => Buffer.from(JSON.stringify(record));
  const order = bytes({ service: 's', target: 'v2', duration_s: 15 });
  t.deepEqual(codec.decodeRollout('rollout/s', order), {
    service: 's',
    targetVersion: 'v2',
    durationMs: 15_000,
  });
  t.is(codec.decodeRollout('config', order), undefined);
  t.is(codec.decodeRollout('rollout/s', bytes({ service: 's', target: 2 })), undefined);
  t.is(codec.decodeRollout('rollout/s', Buffer.from('not json')), undefined);
  const status = { service: 's', targetVersion: 'v2', state: 'rolled-back' } as const;
  const { key, value } = codec.encodeRolloutStatus(status);
  t.is(key, 'rollout/s');
  t.deepEqual(JSON.parse(Buffer.from(value).toString()), {
    service: 's',
    target: 'v2',
    state: 'rolled_back',
  });
});
