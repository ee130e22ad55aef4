import { isDeepStrictEqual } from 'node:util';
import test from 'ava';
import fc from 'fast-check';
import { DomainDigest } from '../../packages/gateway/src/types/domain-digest.ts';
import { NodeReport } from '../../packages/gateway/src/types/node-report.ts';
import { parseDomainDigest } from '../../packages/gateway/src/utils/parse-domain-digest.ts';
import { parseNodeReport } from '../../packages/gateway/src/utils/parse-node-report.ts';

const REPORT = {
  node: 'n1',
  host: '10.0.0.1',
  port: 7500,
  failureDomain: 'a',
  life: 1_700_000_000_000,
  sequence: 7,
  now: 1_700_000_000_100,
  work: { r1: [1, 200, 300] },
  taken: { t1: 40 },
  usage: {},
  demand: {},
  duty: 0,
  isLeaving: false,
};
const DIGEST = {
  relay: 'n1',
  failureDomain: 'a',
  life: 1,
  sequence: 2,
  members: { n1: ['10.0.0.1', 7500, 0] },
  work: { r1: [1, 2, 3] },
  taken: { t1: 5 },
};
/** Values that are wrong in one field or another. */
const ODD_VALUES: readonly unknown[] = [
  null,
  true,
  -1,
  0.5,
  65_536,
  Number.MAX_SAFE_INTEGER,
  2 ** 60,
  '',
  'x'.repeat(512),
  'x'.repeat(513),
  [],
  {},
  [1, 2, 3],
  [1, 2],
  ['r1', 5],
  [['r1', 5]],
  [['r1', 5, 6]],
  { r1: [1, 2, 3] },
  { r1: [1, 2, '3'] },
  { ['x'.repeat(513)]: [1, 2, 3] },
  { t1: 5 },
  { t1: null },
  { '5': { t1: 3 } },
  { n1: ['10.0.0.1', 7500, 0] },
  { n1: ['10.0.0.1', 0, 0] },
  JSON.parse('{"__proto__": [1, 2, 3]}') as unknown,
  JSON.parse('{"__proto__": 4}') as unknown,
  [JSON.parse('1e400') as unknown],
];
const OTHER_FIELDS = [
  'leaving',
  'outOfReach',
  'reached',
  'configuration',
  'limits',
  'prompts',
  'x',
];

function without(message: object, name: string): object {
  return Object.fromEntries(Object.entries(message).filter(([key]) => key !== name));
}

function changed(message: object, changes: readonly (readonly [string, number])[]): unknown {
  const fields = changes.map(([name, index]) => [name, ODD_VALUES[index]] as const);
  return JSON.parse(JSON.stringify({ ...message, ...Object.fromEntries(fields) })) as unknown;
}

function changesOf(message: object): fc.Arbitrary<[string, number][]> {
  const names = [...Object.keys(message), ...OTHER_FIELDS];
  const index = fc.integer({ min: 0, max: ODD_VALUES.length - 1 });
  return fc.array(fc.tuple(fc.constantFrom(...names), index), { maxLength: 3 });
}

// Guards against messages that the quick checks let in and the schemas would not.
test('reports are accepted and read exactly as their schema says', (t) => {
  t.true(parseNodeReport(REPORT).success);
  fc.assert(
    fc.property(changesOf(REPORT), (changes) => {
      const message = changed(REPORT, changes);
      const { success, data } = NodeReport.safeParse(message);
      const parsed = parseNodeReport(message);
      return parsed.success === success && isDeepStrictEqual(parsed.data, data);
    }),
    { numRuns: 5_000, seed: 11 },
  );
  for (const name of Object.keys(REPORT)) {
    t.false(parseNodeReport(without(REPORT, name)).success, name);
  }
});

test('digests are accepted and read exactly as their schema says', (t) => {
  t.true(parseDomainDigest(DIGEST).success);
  fc.assert(
    fc.property(changesOf(DIGEST), (changes) => {
      const message = changed(DIGEST, changes);
      const { success, data } = DomainDigest.safeParse(message);
      const parsed = parseDomainDigest(message);
      return parsed.success === success && isDeepStrictEqual(parsed.data, data);
    }),
    { numRuns: 5_000, seed: 12 },
  );
  for (const name of Object.keys(DIGEST)) {
    t.false(parseDomainDigest(without(DIGEST, name)).success, name);
  }
});
