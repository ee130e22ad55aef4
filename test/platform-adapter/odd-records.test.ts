import test from 'ava';
import fc from 'fast-check';
import { PlatformCatalogCodec } from '@ragwortrudder/platform-adapter';

const SEED = 32;
const RUNS = 2_000;
const codec = new PlatformCatalogCodec();

const ENTRY = {
  service: 's',
  address: '10.0.0.1:80',
  zone: 'a',
  version: 'v1',
  slots: 8,
  state: 'ready',
  cold_remaining_ms: 0,
  born: 17,
  spot: true,
};
const CONFIGURATION = {
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
  ],
  services: [
    {
      name: 's',
      health_path: '/health',
      max_connections: 10,
      engine: { slots: 4, kv_capacity_tokens: 100 },
      scale_bounds: { min_replicas: 1, max_replicas: 2, startup_s: 3, zone_prices: { a: 1 } },
    },
  ],
  limits: {
    max_header_bytes: 8_192,
    max_body_bytes: 100_000,
    header_timeout_ms: 2_000,
    idle_timeout_ms: 5_000,
  },
  tenants: [{ name: 't', api_keys: ['k'], unit: 'tokens', rate_per_s: 1, burst: 2 }],
};
const ROLLOUT = { service: 's', target: 'v2', duration_s: 60 };

/** Path of a field within a record. */
type Path = readonly (string | number)[];

function pathsOf(value: unknown, prefix: Path = []): readonly Path[] {
  if (typeof value !== 'object' || value === null) return [prefix];
  const inner = Object.entries(value).flatMap(([key, item]) => pathsOf(item, [...prefix, key]));
  return prefix.length === 0 ? inner : [prefix, ...inner];
}

/** Text of a record with one field replaced by the text of another value. */
function textWith(record: unknown, path: Path, text: string): string {
  const [key, ...rest] = path;
  if (key === undefined) return text;
  const entries = Object.entries(record as object).map(([name, item]): [string, string] => {
    return [name, name === String(key) ? textWith(item, rest, text) : JSON.stringify(item)];
  });
  return Array.isArray(record)
    ? `[${entries.map(([, item]) => item).join(',')}]`
    : `{${entries.map(([name, item]) => `${JSON.stringify(name)}:${item}`).join(',')}}`;
}

const oddText = fc.oneof(
  fc.jsonValue({ maxDepth: 4 }).map((value) => JSON.stringify(value)),
  fc.constantFrom(
    '1e400',
    '-1e400',
    '1e308',
    '-1',
    '0.5',
    '9007199254740993',
    '1'.repeat(26),
    '"__proto__"',
    '"constructor"',
    '"\\u0000"',
    '"10.0.0.1:70000"',
    '{"__proto__":{"a":1}}',
    `${'['.repeat(60_000)}${']'.repeat(60_000)}`,
    `"${'x'.repeat(70_000)}"`,
  ),
);

/** Numbers within a decoded value. */
function numbersOf(value: unknown): readonly number[] {
  if (typeof value === 'number') return [value];
  if (typeof value !== 'object' || value === null) return [];
  return Object.values(value).flatMap(numbersOf);
}

function fuzz(record: object, check: (value: Buffer) => void): void {
  fc.assert(
    fc.property(fc.constantFrom(...pathsOf(record)), oddText, (path, text) => {
      check(Buffer.from(textWith(record, path, text)));
    }),
    { seed: SEED, numRuns: RUNS },
  );
}

// Guards against: an odd value in any field of an entry came through to code that cannot take it.
test('whatever a field of a runner’s entry has, the entry is rejected with a cause or within ranges', (t) => {
  fuzz(ENTRY, (value) => {
    const entry = codec.decodeRunner('i-1', value);
    const problem = codec.problemOf(codec.runnerTopic, 'i-1', value);
    t.is(problem === undefined, entry !== undefined);
    t.true((problem?.length ?? 0) <= 240);
    if (!entry) return;
    t.true(Number.isInteger(entry.address.port));
    t.true(entry.address.port >= 1 && entry.address.port <= 65_535);
    t.regex(entry.address.host, /^[\w.-]{1,253}$/);
    t.true(entry.slots >= 0 && entry.slots <= 1_000_000);
    t.true(entry.coldMs >= 0 && entry.coldMs <= 86_400_000);
    t.true(Number.isSafeInteger(entry.bornMs) && entry.bornMs >= 0);
    for (const text of [entry.service, entry.version, entry.failureDomain]) {
      t.regex(text, /^[^\p{Cc}]{0,256}$/u);
    }
  });
});

test('an id that a header cannot carry, or that is too long, names no runner', (t) => {
  const value = Buffer.from(JSON.stringify(ENTRY));
  fc.assert(
    fc.property(fc.string({ unit: 'binary', maxLength: 300 }), (id) => {
      const isSound = /^[\x21-\x7e]{1,256}$/.test(id);
      t.is(codec.decodeRunner(id, value) !== undefined, isSound);
    }),
    { seed: SEED, numRuns: RUNS },
  );
});

// Guards against: a kind such as `constructor` was looked up as a property that every object has.
test('whatever a field of the configuration has, it is rejected with a cause or within ranges', (t) => {
  fuzz(CONFIGURATION, (value) => {
    const configuration = codec.decodeConfiguration(value);
    const problem = codec.problemOf(codec.configurationTopic, codec.configurationKey, value);
    t.is(problem === undefined, configuration !== undefined);
    if (!configuration) return;
    t.true(numbersOf(configuration).every(Number.isFinite));
    t.true(Number.isSafeInteger(configuration.version));
    for (const route of configuration.routes) {
      t.true(['idempotent', 'non-idempotent', 'stream'].includes(route.kind));
      for (const ms of [route.timeoutMs, route.latencyTargetMs, route.maxGapMs]) {
        t.true(ms >= 0 && ms < 2 ** 31);
      }
    }
    const { headerTimeoutMs, idleTimeoutMs } = configuration.limits;
    for (const ms of [headerTimeoutMs, idleTimeoutMs]) t.true(ms >= 0 && ms < 2 ** 31);
  });
});

test('whatever a field of a roll-out’s order has, it is rejected with a cause or within ranges', (t) => {
  fuzz(ROLLOUT, (value) => {
    const order = codec.decodeRollout('rollout/s', value);
    const problem = codec.problemOf(codec.configurationTopic, 'rollout/s', value);
    t.is(problem === undefined, order !== undefined);
    if (order) t.true(order.durationMs > 0 && order.durationMs <= 31_536_000_000);
  });
});

test('bytes of any kind are no record, and other keys of the topics are nobody’s problem', (t) => {
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 300 }), (bytes) => {
      t.is(codec.decodeRunner('i-1', bytes), undefined);
      t.is(codec.decodeConfiguration(bytes), undefined);
      t.is(codec.decodeRollout('rollout/s', bytes), undefined);
      t.is(codec.problemOf(codec.configurationTopic, 'others', bytes), undefined);
    }),
    { seed: SEED, numRuns: RUNS },
  );
});
