import test from 'ava';
import { MemoryKeyedLog } from '@ragwortrudder/log';
import { PlatformCatalogCodec } from '@ragwortrudder/platform-adapter';
import { RolloutStatusWriter } from '../../packages/gateway/src/node/rollout-status-writer.ts';
import { LateLog } from './late-log.ts';

const ROLLOUT = { service: 'orders', targetVersion: 'v2' } as const;

// Guards against telling the operator that a version still moves which was rolled back (EXPOSURE).
test('pattern: the state of a roll-out is written late; a newer state stays', async (t) => {
  const log = new MemoryKeyedLog();
  const codec = new PlatformCatalogCodec();
  const lateLog = new LateLog(log, () => true);
  const late = new RolloutStatusWriter({ log: lateLog, codec });
  await t.throwsAsync(late.write({ ...ROLLOUT, state: 'running' }));
  await new RolloutStatusWriter({ log, codec }).write({ ...ROLLOUT, state: 'rolled-back' });
  await lateLog.finish();
  const { records } = await log.newest(codec.statusTopic);
  const { value } = codec.encodeRolloutStatus({ ...ROLLOUT, state: 'rolled-back' });
  t.deepEqual(
    records.map((record) => Buffer.from(record.value ?? '').toString()),
    [Buffer.from(value).toString()],
  );
});
