import test from 'ava';
import {
  SettingsInvalid,
  allowedText,
  checkSettings,
  settingsSchema,
} from '@ragwortrudder/settings';
import type { SchemaNode, SettingsProblem } from '@ragwortrudder/settings';
import { exampleSettings } from './example-settings.ts';

const SECRET = 'a-secret-that-must-not-show';

function problemsIn(text: string): readonly SettingsProblem[] {
  try {
    checkSettings(text);
  } catch (error) {
    if (error instanceof SettingsInvalid) return error.details;
    throw error;
  }
  return [];
}

interface InvalidSettings {
  readonly name: string;
  readonly text: string;
  readonly path: string;
  readonly found: string;
  readonly allowed: RegExp;
}

const HIDDEN = 'a value that is not shown';
const INVALID_SETTINGS: readonly InvalidSettings[] = [
  {
    name: 'not JSON',
    text: `{\n "node": oops`,
    path: 'settings',
    found: 'text that is not JSON, at line 2',
    allowed: /JSON object/,
  },
  {
    name: 'a list',
    text: '[]',
    path: 'settings',
    found: 'a list',
    allowed: /object of node, listen/,
  },
  {
    name: 'an unknown name',
    text: exampleSettings({ 'limits.bodyByts': 5000 }),
    path: 'limits.bodyByts',
    found: 'a name that is not known',
    allowed: /bodyBytes, headerBytes/,
  },
  {
    name: 'a wrong type',
    text: exampleSettings({ 'listen.callers.port': '7000' }),
    path: 'listen.callers.port',
    found: '"7000"',
    allowed: /whole number from 0 to 65535/,
  },
  {
    name: 'a number out of range',
    text: exampleSettings({ 'requests.heartbeatMs': 5 }),
    path: 'requests.heartbeatMs',
    found: '5',
    allowed: /from 500 to 60000/,
  },
  {
    name: 'a fraction instead of a whole number',
    text: exampleSettings({ 'admission.maxQueued': 1.5 }),
    path: 'admission.maxQueued',
    found: '1.5',
    allowed: /whole number/,
  },
  {
    name: 'a missing setting',
    text: exampleSettings({ 'node.id': undefined }),
    path: 'node.id',
    found: 'nothing',
    allowed: /1 to 64 letters/,
  },
  {
    name: 'a missing section',
    text: exampleSettings({ advertise: undefined }),
    path: 'advertise',
    found: 'nothing',
    allowed: /object of callers, peers/,
  },
  {
    name: 'an address without a port',
    text: exampleSettings({ 'advertise.peers': '10.0.0.1' }),
    path: 'advertise.peers',
    found: '"10.0.0.1"',
    allowed: /IP number and a port/,
  },
  {
    name: 'an address out of range',
    text: exampleSettings({ seeds: ['10.0.0.300:7000'] }),
    path: 'seeds.0',
    found: '"10.0.0.300:7000"',
    allowed: /IP number and a port/,
  },
  {
    name: 'a platform URL that is not HTTP',
    text: exampleSettings({ 'platform.url': 'ftp://10.0.0.1' }),
    path: 'platform.url',
    found: '"ftp://10.0.0.1"',
    allowed: /http:\/\//,
  },
  {
    name: 'a host name to listen on',
    text: exampleSettings({ 'listen.peers.host': 'localhost' }),
    path: 'listen.peers.host',
    found: '"localhost"',
    allowed: /an IP number/,
  },
  {
    name: 'a value outside an enumeration',
    text: exampleSettings({ 'runners.policy': 'random' }),
    path: 'runners.policy',
    found: '"random"',
    allowed: /"estimate", "round-robin"/,
  },
  {
    name: 'a short key',
    text: exampleSettings({ 'keys.peer': 'short' }),
    path: 'keys.peer',
    found: HIDDEN,
    allowed: /16 to 256 characters/,
  },
  {
    name: 'a name with a slash',
    text: exampleSettings({ 'node.failureDomain': 'a/b' }),
    path: 'node.failureDomain',
    found: '"a/b"',
    allowed: /1 to 64 letters/,
  },
  {
    name: 'two entries for the same tenant',
    text: exampleSettings({
      'keys.tenants': [
        { tenant: 'same', key: 'first-key-of-a-tenant' },
        { tenant: 'same', key: 'other-key-of-a-tenant' },
      ],
    }),
    path: 'keys.tenants.1.tenant',
    found: '"same"',
    allowed: /no earlier entry/,
  },
  {
    name: 'two operators with the same name',
    text: exampleSettings({
      'keys.operators': [
        { name: 'same', key: 'first-key-of-an-operator' },
        { name: 'same', key: 'other-key-of-an-operator' },
      ],
    }),
    path: 'keys.operators.1.name',
    found: '"same"',
    allowed: /no earlier entry/,
  },
  {
    name: 'the same key for a peer and a tenant',
    text: exampleSettings({
      'keys.tenants': [{ tenant: 'one', key: SECRET }],
      'keys.peer': SECRET,
    }),
    path: 'keys.tenants.0.key',
    found: HIDDEN,
    allowed: /nothing before it/,
  },
  {
    name: 'a hand-over period longer than the grace period',
    text: exampleSettings({ 'shutdown.graceMs': 1000, 'shutdown.handOverMs': 2000 }),
    path: 'shutdown.handOverMs',
    found: '2000',
    allowed: /at most shutdown.graceMs, which is 1000/,
  },
  {
    name: 'a lease margin longer than half of the lease',
    text: exampleSettings({ supply: { leaseMs: 10_000, leaseMarginMs: 9000 } }),
    path: 'supply.leaseMarginMs',
    found: '9000',
    allowed: /at most half of supply.leaseMs, which is 5000/,
  },
  {
    name: 'a default that conflicts with another setting',
    text: exampleSettings({ shutdown: { graceMs: 1000 } }),
    path: 'shutdown.handOverMs',
    found: '8000',
    allowed: /at most shutdown.graceMs/,
  },
  {
    name: 'a probe timeout longer than the probe period',
    text: exampleSettings({ membership: { probePeriodMs: 100, probeTimeoutMs: 500 } }),
    path: 'membership.probeTimeoutMs',
    found: '500',
    allowed: /at most membership.probePeriodMs/,
  },
  {
    name: 'a default deadline above the maximum deadline',
    text: exampleSettings({ 'requests.maxDeadlineMs': 1000 }),
    path: 'requests.deadlineMs',
    found: '120000',
    allowed: /at most requests.maxDeadlineMs/,
  },
  {
    name: 'the same port for callers and peers',
    text: exampleSettings({ 'listen.peers.port': 7100 }),
    path: 'listen.peers.port',
    found: '7100',
    allowed: /other than that of listen.callers/,
  },
];

for (const { name, text, path, found, allowed } of INVALID_SETTINGS) {
  test(`rejects settings with ${name}`, (t) => {
    const problems = problemsIn(text);
    t.deepEqual(
      problems.map((problem) => problem.path),
      [path],
    );
    t.is(problems[0]?.found, found);
    t.regex(problems[0]?.allowed ?? '', allowed);
  });
}

test('accepts the example settings', (t) => {
  t.deepEqual(problemsIn(exampleSettings({})), []);
});

test('reports all problems of a file at once, including those of settings that depend on each other', (t) => {
  const problems = problemsIn(
    exampleSettings({
      'node.id': 7,
      extra: true,
      'requests.heartbeatMs': 5,
      'shutdown.graceMs': 1000,
      'keys.tenants': [
        { tenant: 'same', key: SECRET },
        { tenant: 'same', key: SECRET },
      ],
    }),
  );
  t.deepEqual(problems.map(({ path }) => path).sort(), [
    'extra',
    'keys.tenants.1.key',
    'keys.tenants.1.tenant',
    'node.id',
    'requests.heartbeatMs',
    'shutdown.handOverMs',
  ]);
});

test('never reveals a key', (t) => {
  const texts = [
    exampleSettings({ 'keys.peer': `${SECRET} ${SECRET}` }),
    exampleSettings({ 'keys.peer': [SECRET] }),
    exampleSettings({ 'keys.tenants': [{ tenant: 'one', key: SECRET, more: SECRET }] }),
    exampleSettings({ 'keys.operators': SECRET }),
    exampleSettings({ keys: SECRET }),
    exampleSettings({ 'node.key': SECRET }),
    `{ "keys": { "peer": "${SECRET}" oops`,
  ];
  for (const text of texts) {
    const problems = problemsIn(text);
    t.true(problems.length > 0);
    t.notRegex(JSON.stringify(problems), new RegExp(SECRET));
  }
});

/** Returns the settings that are not objects, with their paths. */
function leavesOf(node: SchemaNode, path: string): readonly (readonly [string, SchemaNode])[] {
  if (node.type === 'array' && node.items) return leavesOf(node.items, `${path}[]`);
  if (!node.properties) return [[path, node]];
  return Object.entries(node.properties).flatMap(([name, child]) =>
    leavesOf(child, path === '' ? name : `${path}.${name}`),
  );
}

function isRequired(root: SchemaNode, path: string): boolean {
  const parts = path.replaceAll('[]', '').split('.');
  const last = parts.pop() ?? '';
  let node: SchemaNode | undefined = root;
  for (const part of parts) {
    const child: SchemaNode | undefined = node?.properties?.[part];
    node = child?.items ?? child;
  }
  return node?.required?.includes(last) ?? false;
}

test('each setting has a description and a range, and is required or has a default', (t) => {
  const schema = settingsSchema();
  for (const [path, node] of leavesOf(schema, '')) {
    t.truthy(node.description, path);
    t.notRegex(allowedText(node), /from {2}to|to $/, path);
    const isOptional = path === 'node.vmId' || path.endsWith('[]');
    t.true(isOptional || node.default !== undefined || isRequired(schema, path), path);
    if (node.type === 'integer' && !path.endsWith('port')) t.truthy(node.unit, path);
  }
});
