import test from 'ava';
import { SeededRandom } from '@ragwortrudder/core';
import { fittingIds } from '../../packages/gateway/src/utils/fitting-ids.ts';

const MAX_BYTES = 100;
const IDS = Array.from({ length: 50 }, (_item, index) => `runner-${index}`);

// Guards against a header that grows with the number of runners.
test('ids that do not fit are left out, others at each time', (t) => {
  const random = new SeededRandom(1);
  const options = { maxBytes: MAX_BYTES, random };
  const samples = IDS.map(() => fittingIds(IDS, options));
  for (const ids of samples) {
    t.true(ids.length > 0);
    t.true(JSON.stringify(ids).length <= MAX_BYTES);
    t.is(new Set(ids).size, ids.length);
  }
  t.true(new Set(samples.flat()).size > IDS.length / 2);
  t.deepEqual(fittingIds(IDS.slice(0, 5), options), IDS.slice(0, 5));
  t.deepEqual(fittingIds([], options), []);
});
