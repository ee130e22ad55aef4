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
const PROMPTS = {
  interrupted: [
    { runner: 'r1 5', request: 'q1', parts: ['p1', 'p2'], hasResponded: true, ageMs: 70 },
  ],
  served: { p1: 900, p2: -1 },
  servedCount: 12,
  quarantined: [{ part: 'p3', ageMs: 80, remainingMs: -5, failedTrials: 1 }],
};
const BRITTLE = {
  stated: [{ runner: 'r1 5', perSecond: 8, ageMs: 90 }],
  rejections: { 'r1 5': [3, 250] },
  rooms: { 'r1 5': 4 },
};
const REPORT_WITH_TOTALS = {
  ...REPORT,
  usage: { '5': { t1: 3 } },
  demand: { s1: [1, 2, 3] },
  earlierDemand: { s1: [900, 1, 2, 3] },
  limits: [{ runner: 'r1 5', perSecond: 8, ageMs: 90 }],
  cold: [{ runner: 'r1 5', coldMs: 700, ageMs: 90 }],
  speeds: { 'r1 5': [10, -3] },
  keepsHomeRegions: true,
  prompts: PROMPTS,
  brittle: BRITTLE,
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
const DIGEST_WITH_STATEMENTS = {
  ...DIGEST,
  limits: [{ runner: 'r1 5', perSecond: null, ageMs: 90 }],
  cold: [{ runner: 'r1 5', coldMs: 0, ageMs: 90 }],
  prompts: PROMPTS,
  brittle: BRITTLE,
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
  { s1: [900, 1, 2, 3] },
  { x: { t1: 3 } },
  [{ runner: 'r1 5', perSecond: 8, ageMs: 90 }],
  [{ runner: 'r1 5', perSecond: null, ageMs: -90 }],
  [{ runner: 'r1 5', perSecond: 1_000_000, ageMs: 90, x: 1 }],
  [{ runner: 'r1 5', perSecond: 1_000_001, ageMs: 90 }],
  [{ runner: 'x'.repeat(513), perSecond: 8, ageMs: 90 }],
  [{ runner: 'r1 5', coldMs: 86_400_000, ageMs: 90 }],
  [{ runner: 'r1 5', coldMs: 86_400_001, ageMs: 90 }],
  [{ runner: 'r1 5', coldMs: -1, ageMs: 90 }],
  PROMPTS,
  { ...PROMPTS, servedCount: '12' },
  { ...PROMPTS, x: 1 },
  { ...PROMPTS, interrupted: Array.from({ length: 65 }, () => PROMPTS.interrupted[0]) },
  { ...PROMPTS, interrupted: [{ ...PROMPTS.interrupted[0], parts: Array(17).fill('p') }] },
  { ...PROMPTS, interrupted: [{ ...PROMPTS.interrupted[0], hasResponded: 1 }] },
  { ...PROMPTS, quarantined: Array.from({ length: 65 }, () => PROMPTS.quarantined[0]) },
  { ...PROMPTS, quarantined: [{ part: 'p3', ageMs: 80, remainingMs: -5 }] },
  BRITTLE,
  { ...BRITTLE, rejections: { 'r1 5': [0.5, 250] } },
  { ...BRITTLE, rejections: { 'r1 5': [3, 3_600_001] } },
  { ...BRITTLE, rooms: { 'r1 5': 1_000_000_001 } },
  { ...BRITTLE, stated: [{ runner: 'r1 5', perSecond: -1, ageMs: 90 }] },
  Array.from({ length: 128 }, () => ({ runner: 'r1 5', coldMs: 7, ageMs: 90 })),
  Array.from({ length: 129 }, () => ({ runner: 'r1 5', coldMs: 7, ageMs: 90 })),
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
  'cold',
  'brittle',
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
  for (const whole of [REPORT, REPORT_WITH_TOTALS]) {
    fc.assert(
      fc.property(changesOf(whole), (changes) => {
        const message = changed(whole, changes);
        const { success, data } = NodeReport.safeParse(message);
        const parsed = parseNodeReport(message);
        return parsed.success === success && isDeepStrictEqual(parsed.data, data);
      }),
      { numRuns: 5_000, seed: 11 },
    );
  }
  for (const name of Object.keys(REPORT)) {
    t.false(parseNodeReport(without(REPORT, name)).success, name);
  }
});

test('digests are accepted and read exactly as their schema says', (t) => {
  t.true(parseDomainDigest(DIGEST).success);
  for (const whole of [DIGEST, DIGEST_WITH_STATEMENTS]) {
    fc.assert(
      fc.property(changesOf(whole), (changes) => {
        const message = changed(whole, changes);
        const { success, data } = DomainDigest.safeParse(message);
        const parsed = parseDomainDigest(message);
        return parsed.success === success && isDeepStrictEqual(parsed.data, data);
      }),
      { numRuns: 5_000, seed: 12 },
    );
  }
  for (const name of Object.keys(DIGEST)) {
    t.false(parseDomainDigest(without(DIGEST, name)).success, name);
  }
});
