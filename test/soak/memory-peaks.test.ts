import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import { MemoryPeaks, MemorySampler } from '@ragwortrudder/soak';

const MB = 1_024;

test('memory that would not fit the weakest VM is a violation, however short it is held', (t) => {
  for (const [peakMb, promises] of [
    [368, []],
    [369, ['memory']],
  ] as const) {
    const peaks = new MemoryPeaks();
    peaks.recordReady('n1', 200 * MB);
    peaks.recordReady('n2', 200 * MB);
    for (const [index, megabytes] of [210, peakMb, 220].entries()) {
      peaks.record('n1', megabytes * MB, index * 1_000);
    }
    t.true(peaks.check().every(({ message }) => message.endsWith('1000 ms after the start')));
    t.deepEqual(
      peaks.check().map(({ promise }) => promise),
      [...promises],
    );
    t.deepEqual(peaks.growthMb, { n1: peakMb - 200, n2: 0 });
  }
});

test('the memory of a process is sampled, also when it has ended or another one has followed', async (t) => {
  const start = (megabytes: number) => {
    const program = `globalThis.held = Buffer.alloc(${megabytes} * 1024 * 1024, 1); console.log('ready'); setInterval(() => 0, 1_000);`;
    const child = spawn(process.execPath, ['-e', program]);
    t.teardown(() => child.kill('SIGKILL'));
    return child;
  };
  const sampler = new MemorySampler();
  const node = { id: 'n1', pid: undefined as number | undefined };
  for (const megabytes of [1, 101]) {
    const child = start(megabytes);
    await once(child.stdout, 'data');
    node.pid = child.pid;
    if (megabytes === 1) sampler.start([node]);
    await sleep(300);
    child.kill('SIGKILL');
    await once(child, 'close');
    await sleep(300);
  }
  await sampler.close();
  const growthMb = sampler.peaks.growthMb.n1 ?? 0;
  t.true(growthMb > 80 && growthMb < 120, String(growthMb));
});
