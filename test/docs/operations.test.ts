import { readFileSync } from 'node:fs';
import test from 'ava';
import { requestStory } from '../../packages/cli/src/utils/request-story.ts';

const ROOT = new URL('../../', import.meta.url);

function read(path: string): string {
  return readFileSync(new URL(path, ROOT), 'utf8');
}

function storyOf(id: string, log: string): string {
  return requestStory(id, read(`test/cli/logs/${log}`).split('\n')).join('\n');
}

test('the table of causes names every cause of the code, and no other', (t) => {
  const source = read('packages/gateway/src/types/refusal-cause.ts');
  const inCode = [...source.matchAll(/\| '([a-z-]+)'/g)].map(([, cause]) => cause);
  const section = read('docs/OPERATIONS.md').split('## Causes')[1]?.split('\n## ')[0] ?? '';
  const inTable = [...section.matchAll(/^\| `([a-z-]+)`/gm)].map(([, cause]) => cause);
  t.true(inCode.length > 5);
  t.deepEqual(inTable.toSorted(), inCode.toSorted());
});

test('every event that the code logs is in the table of lines', (t) => {
  const folder = 'packages/gateway/src/node/';
  const files = [
    'decision-log',
    'caller-server',
    'duty-holder',
    'forwarded-request',
    'forwarder',
    'gateway',
    'peers',
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

test('way 1: refused in a failure domain that is cut off', (t) => {
  const story = storyOf('2414155eadd38fda', 'refused-in-a-cut-domain.jsonl');
  t.regex(story, /request-refused cause=no-runner status=503 .*version=38/);
  const log = read('test/cli/logs/refused-in-a-cut-domain.jsonl');
  t.regex(log, /"configuration-applied","version":38/);
  t.true(new Set(log.match(/"runner-unreachable","runner":"[^"]+"/g)).size >= 8);
  t.true(new Set(log.match(/"peer-lost","peer":"[^"]+"/g)).size >= 6);
  t.is(log.match(/"log-lost"/g)?.length, 2);
});

test('way 2: a runner that crashed', (t) => {
  const story = storyOf('678c762235a24ae7', 'stream-broken-off.jsonl');
  t.regex(story, /attempt-ended .*reason=socket hang up sends=1 step=fail/);
  t.is(story.match(/runner-unreachable/g)?.length, 3);
  t.regex(story, /runner-removed/);
});

test('way 3: an answer that was lost', (t) => {
  const story = storyOf('c9eb930fd4f73604', 'answer-lost.jsonl');
  t.regex(story, /attempt-ended .*reason=read ECONNRESET sends=1 step=fail/);
  t.regex(story, /cause=runner-broken status=502/);
  const log = read('test/cli/logs/answer-lost.jsonl');
  t.notRegex(log, /runner-unreachable|runner-removed/);
  t.regex(log, /"request-served"/);
});
