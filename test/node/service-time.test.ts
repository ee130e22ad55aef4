import test from 'ava';
import { ServiceTime } from '../../packages/node/src/utils/service-time.ts';

test('a request must start so early that its service ends by the deadline', (t) => {
  const time = new ServiceTime();
  t.is(time.startWithinMs({ class: 'interactive', cost: 20 }, 3000), 3000);
  time.add({ class: 'interactive', cost: 10 }, 500);
  t.is(time.startWithinMs({ class: 'interactive', cost: 20 }, 3000), 2000);
  t.is(time.startWithinMs({ class: 'batch', cost: 20 }, 3000), 3000);
});

test('the expected service takes at most half of the time left', (t) => {
  const time = new ServiceTime();
  time.add({ class: 'interactive', cost: 1 }, 10_000);
  t.is(time.startWithinMs({ class: 'interactive', cost: 5 }, 3000), 1500);
  t.is(time.startWithinMs({ class: 'interactive', cost: 5 }, -10), -10);
});
