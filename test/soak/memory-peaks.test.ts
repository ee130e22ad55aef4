import test from 'ava';
import { MemoryPeaks } from '@ragwortrudder/soak';

const MB = 1_024;

test('memory that would not fit the weakest VM is a violation, however short it is held', (t) => {
  for (const [peakMb, promises] of [
    [368, []],
    [369, ['memory']],
  ] as const) {
    const peaks = new MemoryPeaks();
    peaks.recordReady('n1', 200 * MB);
    peaks.recordReady('n2', 200 * MB);
    for (const megabytes of [210, peakMb, 220]) peaks.record('n1', megabytes * MB);
    t.deepEqual(
      peaks.check().map(({ promise }) => promise),
      [...promises],
    );
    t.deepEqual(peaks.growthMb, { n1: peakMb - 200, n2: 0 });
  }
});
