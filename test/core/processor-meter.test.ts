import test from 'ava';
import { ProcessorMeter } from '@ragwortrudder/core';

test('time of nested activities counts once', (t) => {
  let now = 10;
  const use = (ms: number): void => {
    now += ms;
  };
  const meter = new ProcessorMeter({ read: () => now });
  meter.addUnmeasured('start');
  meter.measure('messages', () => {
    use(3);
    meter.measure('log', () => {
      use(1);
    });
    use(2);
  });
  t.throws(() =>
    meter.measure('log', () => {
      use(4);
      throw new RangeError('out of range');
    }),
  );
  use(7);
  t.deepEqual(Object.fromEntries(meter.use.byActivity), {
    start: { ms: 10, count: 1 },
    messages: { ms: 5, count: 1 },
    log: { ms: 5, count: 2 },
  });
  t.is(meter.use.totalMs, 27);
});

test('the use of the process grows with work', (t) => {
  const meter = new ProcessorMeter();
  const before = meter.use.totalMs;
  meter.measure('work', () => {
    while (meter.use.totalMs - before < 20);
  });
  t.true((meter.use.byActivity.get('work')?.ms ?? 0) >= 19);
});

test('runs that are measured count for those that are not', (t) => {
  let now = 0;
  const meter = new ProcessorMeter({ read: () => now, measuredShare: 1 / 4 });
  for (let run = 0; run < 8; run += 1) {
    meter.measure('messages', () => {
      now += 2;
      meter.measure('log', () => {
        now += 1;
      });
    });
  }
  t.deepEqual(Object.fromEntries(meter.use.byActivity), {
    messages: { ms: 16, count: 8 },
    log: { ms: 8, count: 8 },
  });
});
