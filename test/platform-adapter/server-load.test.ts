import test from 'ava';
import { loadOf } from '../../platform/src/utils/load-of.ts';

const LOAD = { running: 3, waiting: 1, slots: 8 };

test('the fourth value states how long work takes at the moment', (t) => {
  t.deepEqual(loadOf('3,1,8,250'), { ...LOAD, slowness: 2.5 });
  t.deepEqual(loadOf('3, 1, 8, 100'), { ...LOAD, slowness: 1 });
  t.deepEqual(loadOf('3,1,8,87.5'), { ...LOAD, slowness: 0.875 });
  t.deepEqual(loadOf('3,1,8,10000'), { ...LOAD, slowness: 100 });
});

// Guards against a load that is not used at all because of its fourth value.
test('an invalid fourth value leaves the others in use', (t) => {
  for (const odd of [
    '',
    ' ',
    '0',
    '0.0',
    '-5',
    '10001',
    '1e3',
    'NaN',
    'Infinity',
    'x',
    '9'.repeat(400),
  ]) {
    t.deepEqual(loadOf(`3,1,8,${odd}`), { ...LOAD, hasInvalidSlowness: true }, odd);
  }
});

// Guards against a change for runners that state three values.
test('a load without a fourth value is as before', (t) => {
  t.deepEqual(loadOf('3,1,8'), LOAD);
  t.is(loadOf('3,1'), undefined);
  t.is(loadOf('3,x,8,100'), undefined);
  t.is(loadOf(undefined), undefined);
});
