import { readFileSync } from 'node:fs';
import test from 'ava';
import { MemoryKeyedLog } from '@ragwortrudder/log';
import { PlatformDialect } from '@ragwortrudder/platform-adapter';
import type * as z from 'zod';
import { createTermStore } from '../gateway/create-term-store.ts';
import { ConfigurationPart } from '../../packages/gateway/src/types/configuration-part.ts';
import { DomainDigest } from '../../packages/gateway/src/types/domain-digest.ts';
import { NodeReport } from '../../packages/gateway/src/types/node-report.ts';
import { PassedRequest } from '../../packages/gateway/src/types/passed-request.ts';
import { PeerEntry } from '../../packages/gateway/src/types/peer-entry.ts';
import { StoredPromptEvidence } from '../../packages/gateway/src/types/stored-prompt-evidence.ts';
import { TopicFeed } from '../../packages/gateway/src/types/topic-feed.ts';
import { UsageCheckpoint } from '../../packages/gateway/src/types/usage-checkpoint.ts';
import { PassingDialect } from '../../packages/gateway/src/utils/passing-dialect.ts';

/**
 * What another build wrote. Reports, feeds, passed requests and records come from a soak of processes
 * of that build; the digest and the part of a configuration from its functions.
 */
interface OtherBuild {
  readonly messages: readonly { readonly method: string; readonly params: object }[];
  readonly passedRequests: readonly { readonly header: string; readonly decoded: object }[];
  readonly rejections: readonly string[];
  readonly records: readonly WrittenRecord[];
}

interface WrittenRecord {
  readonly topic: string;
  readonly key: string;
  readonly value: object;
}

interface TermRecord {
  readonly holder: string;
  readonly token: number;
}

const MESSAGES: ReadonlyMap<string, z.ZodType> = new Map<string, z.ZodType>([
  ['report', NodeReport],
  ['digest', DomainDigest],
  ['feed', TopicFeed],
  ['configuration', ConfigurationPart],
]);
const RECORDS: ReadonlyMap<string, z.ZodType> = new Map<string, z.ZodType>([
  ['nodes', PeerEntry],
  ['quarantine', StoredPromptEvidence],
  ['draft-of-usage', UsageCheckpoint],
]);
const FIXTURE = new URL('build-fe8b82e.json', import.meta.url);
const build = JSON.parse(readFileSync(FIXTURE, 'utf8')) as OtherBuild;

function parse(schema: z.ZodType | undefined, value: object): unknown {
  const result = schema?.safeParse(value);
  return result?.success ? result.data : result?.error.issues;
}

function valueOf(key: string): object {
  return build.records.find((record) => record.key === key)?.value ?? {};
}

// Guards against nodes of an upgrade that no longer understand those that run the other version.
test('messages of the other build are read in full, and what a later one adds is ignored', (t) => {
  const methods = new Set(build.messages.map(({ method }) => method));
  t.deepEqual([...methods].toSorted(), [...MESSAGES.keys()].toSorted());
  for (const { method, params } of build.messages) {
    t.deepEqual(parse(MESSAGES.get(method), params), params, method);
    t.deepEqual(parse(MESSAGES.get(method), { ...params, later: { a: 1 } }), params, method);
  }
});

test('requests that a node of the other build passes on are read in full', (t) => {
  const head = { method: 'GET', target: '/read/x', host: 'soak.example', remoteAddress: '' };
  for (const { header, decoded } of build.passedRequests) {
    const later = Buffer.from(JSON.stringify({ ...decoded, later: 1 })).toString('base64');
    for (const value of [header, later]) {
      const rawHeaders = ['Host', 'soak.example', 'Request-Id', 'a', 'passed-request', value];
      const dialect = new PassingDialect(new PlatformDialect());
      t.deepEqual(dialect.parseRequest({ ...head, rawHeaders }, undefined).passed, decoded);
    }
  }
});

test('what this build passes on has what the other build reads', (t) => {
  const dialect = new PlatformDialect();
  const request = dialect.parseRequest(
    { method: 'GET', target: '/read/x', rawHeaders: ['Host', 'soak.example', 'Request-Id', 'a'] },
    undefined,
  );
  const metadata = {
    ...{ runner: { id: 'r1', address: { host: '127.0.0.1', port: 1 } }, remainingMs: 1_000 },
    ...{ team: undefined, priority: undefined, lastEventId: undefined },
  };
  for (const { decoded } of build.passedRequests) {
    const passing = new PassingDialect(dialect, PassedRequest.parse(decoded));
    const headers = passing.runnerHeaders(request, metadata);
    const value = headers[headers.indexOf('passed-request') + 1] ?? '';
    t.deepEqual(JSON.parse(Buffer.from(value, 'base64').toString()), decoded);
  }
});

test('a rejection of a node of the other build is no response of a runner', (t) => {
  const dialect = new PassingDialect(new PlatformDialect());
  t.true(build.rejections.length >= 4);
  for (const cause of build.rejections) {
    const head = dialect.parseResponseHead(503, ['passed-request-rejected', cause]);
    t.true(head.isNotExecuted);
    t.is(head.rejection, cause);
  }
});

test('records of the other build are read in full', (t) => {
  for (const { topic, key, value } of build.records) {
    const schema = RECORDS.get(topic) ?? RECORDS.get(key);
    if (schema) t.deepEqual(parse(schema, value), value, `${topic} ${key}`);
  }
  t.true(build.records.some(({ topic }) => topic === 'nodes'));
  t.true(build.records.some(({ topic }) => topic === 'quarantine'));
});

test('a node takes duties over from one of the other build, with a higher token', async (t) => {
  const log = new MemoryKeyedLog();
  for (const { topic, key, value } of build.records) {
    if (topic === 'duties') {
      await log.append({ topic, key, value: Buffer.from(JSON.stringify(value)) });
    }
  }
  const { holder = '', token = NaN } = valueOf('term') as Partial<TermRecord>;
  const store = createTermStore({ log, node: 'new' });
  t.is((await store.observe()).holder, holder);
  t.deepEqual(await store.takeOver(), { isTaken: true, previousHolder: holder });
  t.true((store.term?.fencingToken ?? 0) > token);
  t.deepEqual(store.records.get('draft-of-usage'), valueOf('draft-of-usage'));
});
