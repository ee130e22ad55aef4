import test from 'ava';
import { RunnerSpeeds } from '@ragwortrudder/routing';
import { ManualClock } from '@ragwortrudder/core';
import type { DomainDigest } from '../../packages/gateway/src/types/domain-digest.ts';
import { fitDigest } from '../../packages/gateway/src/utils/fit-digest.ts';
import { parseDomainDigest } from '../../packages/gateway/src/utils/parse-domain-digest.ts';
import { parseNodeReport } from '../../packages/gateway/src/utils/parse-node-report.ts';

const REPORT = {
  ...{ node: 'n', host: '127.0.0.1', port: 1, failureDomain: 'a', life: 1, sequence: 1, now: 1 },
  ...{ work: {}, taken: {}, usage: {}, demand: {}, duty: 0, isLeaving: false },
};
const DIGEST: DomainDigest = {
  ...{ relay: 'n', failureDomain: 'a', life: 1, sequence: 1 },
  ...{ members: {}, work: {}, taken: {} },
};
const many = Object.fromEntries(
  Array.from({ length: 20 }, (_, index): [string, [number, number]] => [`r${index} 1`, [10, 5]]),
);

test('reports and digests are read with and without speeds', (t) => {
  for (const speeds of [undefined, many]) {
    const added = speeds ? { speeds } : {};
    t.deepEqual(parseNodeReport({ ...REPORT, ...added }).data?.speeds, speeds);
    t.deepEqual(parseDomainDigest({ ...DIGEST, ...added }).data?.speeds, speeds);
  }
});

// Guards against a node that is not heard any more because one of its figures is odd.
test('odd speeds in a report have no effect, and the rest of it is used', (t) => {
  const parsed = parseNodeReport({ ...REPORT, speeds: { 'r0 1': [-1, 1e15] } });
  t.true(parsed.success);
  const speeds = new RunnerSpeeds({ clock: new ManualClock() });
  speeds.setPeer('n', parsed.data?.speeds ?? {});
  t.is(speeds.lastingOf('r0 1'), 1);
  t.true(speeds.isEmpty);
});

// Guards against a digest that does not fit in its place on the link because of the speeds.
test('speeds are left out of a digest that is too large, before anything else', (t) => {
  const prompts = {
    ...{ interrupted: [], served: {}, quarantined: [] },
  } as unknown as DomainDigest['prompts'];
  const digest = { ...DIGEST, speeds: many, prompts };
  const fitted = fitDigest(digest, (tried) => JSON.stringify(tried).length < 350);
  const kept = Object.keys(fitted.speeds ?? {}).length;
  t.true(kept > 0 && kept < 20, String(kept));
  t.deepEqual(fitted.prompts, prompts);
  t.is(fitDigest(digest, () => false).speeds, undefined);
  t.is(
    fitDigest(digest, () => true),
    digest,
  );
});
