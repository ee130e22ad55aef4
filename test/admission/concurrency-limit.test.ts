import { ConcurrencyLimit } from '@ragwortrudder/admission';
import test from 'ava';

test('latency variation below the noise threshold does not count as congestion', (t) => {
  const limitAfter = (noiseMs: number): number => {
    const limit = new ConcurrencyLimit({ initial: 8, noiseMs });
    for (let step = 0; step < 200; step += 1) {
      while (limit.tryAcquire());
      const latencyMs = step % 3 === 0 ? 40 : 10;
      limit.release({ outcome: 'ok', latencyMs }, step * 50);
    }
    return limit.limit;
  };
  t.true(limitAfter(100) > 8);
  t.true(limitAfter(0) < 8);
});
