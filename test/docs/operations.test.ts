import { readFileSync } from 'node:fs';
import test from 'ava';
import { requestTimeline } from '../../packages/cli/src/utils/request-timeline.ts';

const ROOT = new URL('../../', import.meta.url);

function read(path: string): string {
  return readFileSync(new URL(path, ROOT), 'utf8');
}

function timelineOf(id: string, log: string): string {
  return requestTimeline(id, read(`test/cli/logs/${log}`).split('\n')).join('\n');
}

test('docs/OPERATIONS.md lists exactly the refusal causes of the code', (t) => {
  const source = read('packages/gateway/src/types/refusal-cause.ts');
  const inCode = [...source.matchAll(/\| '([a-z-]+)'/g)].map(([, cause]) => cause);
  const section = read('docs/OPERATIONS.md').split('## Causes')[1]?.split('\n## ')[0] ?? '';
  const inTable = [...section.matchAll(/^\| `([a-z-]+)`/gm)].map(([, cause]) => cause);
  t.true(inCode.length > 5);
  t.deepEqual(inTable.toSorted(), inCode.toSorted());
});

test('docs/OPERATIONS.md lists every event that the gateway logs', (t) => {
  const folder = 'packages/gateway/src/node/';
  const files = [
    'decision-log',
    'caller-server',
    'duty-holder',
    'evacuations',
    'forwarded-request',
    'forwarder',
    'gateway',
    'peer-forwarder',
    'peer-passing',
    'peers',
    'quarantine-sync',
    'rollouts',
    'runner-links',
    'runner-pool',
    'supply-duty',
    'usage-duty',
  ];
  const text = files.map((file) => read(`${folder}${file}.ts`)).join('\n');
  const events = [...text.matchAll(/notable\(\s*'([a-z-]+)'/g)].map(([, event]) => event ?? '');
  const page = read('docs/OPERATIONS.md');
  t.true(events.length > 15);
  for (const event of new Set(events)) t.true(page.includes(`\`${event}\``), event);
});

test('docs/OPERATIONS.md, way 1: a request refused in a partitioned failure domain', (t) => {
  const timeline = timelineOf('2414155eadd38fda', 'refused-in-a-cut-domain.jsonl');
  t.regex(timeline, /request-refused cause=no-runner status=503 .*version=38/);
  const log = read('test/cli/logs/refused-in-a-cut-domain.jsonl');
  t.regex(log, /"configuration-applied","version":38/);
  t.true(new Set(log.match(/"runner-unreachable","runner":"[^"]+"/g)).size >= 8);
  t.true(new Set(log.match(/"peer-lost","peer":"[^"]+"/g)).size >= 6);
  t.is(log.match(/"log-lost"/g)?.length, 2);
});

test('docs/OPERATIONS.md, way 2: a runner crash', (t) => {
  const timeline = timelineOf('678c762235a24ae7', 'stream-broken-off.jsonl');
  t.regex(timeline, /attempt-ended .*reason=socket hang up sends=1 step=fail/);
  t.is(timeline.match(/runner-unreachable/g)?.length, 3);
  t.regex(timeline, /runner-removed/);
});

test('docs/OPERATIONS.md, way 3: a lost answer', (t) => {
  const timeline = timelineOf('c9eb930fd4f73604', 'answer-lost.jsonl');
  t.regex(timeline, /attempt-ended .*reason=read ECONNRESET sends=1 step=fail/);
  t.regex(timeline, /cause=runner-broken status=502/);
  const log = read('test/cli/logs/answer-lost.jsonl');
  t.notRegex(log, /runner-unreachable|runner-removed/);
  t.regex(log, /"request-served"/);
});
