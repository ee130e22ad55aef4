import test from 'ava';
import { ServiceTimeEstimator } from '../../packages/node/src/utils/service-time-estimator.ts';

test('a request must start early enough for its service to end by the deadline', (t) => {
  const time = new ServiceTimeEstimator();
  t.is(time.startWithinMs({ class: 'interactive', cost: 20 }, 3000), 3000);
  time.record({ class: 'interactive', cost: 10 }, 500);
  t.is(time.startWithinMs({ class: 'interactive', cost: 20 }, 3000), 2000);
  t.is(time.startWithinMs({ class: 'batch', cost: 20 }, 3000), 3000);
});

test('the expected service time is capped at half of the remaining time', (t) => {
  const time = new ServiceTimeEstimator();
  time.record({ class: 'interactive', cost: 1 }, 10_000);
  t.is(time.startWithinMs({ class: 'interactive', cost: 5 }, 3000), 1500);
  t.is(time.startWithinMs({ class: 'interactive', cost: 5 }, -10), -10);
});
