import { PassThrough } from 'node:stream';
import test from 'ava';
import { PromptQuarantine, repeatKey } from '@ragwortrudder/admission';
import { ManualClock } from '@ragwortrudder/core';
import { MemoryKeyedLog } from '@ragwortrudder/log';
import { DecisionLog } from '../../packages/gateway/src/node/decision-log.ts';
import { GatewayMetrics } from '../../packages/gateway/src/node/gateway-metrics.ts';
import { QuarantineSync } from '../../packages/gateway/src/node/quarantine-sync.ts';
import { RestoringLog } from './restoring-log.ts';

const TOPIC = 'quarantine';

// Guards against taking a record for stored that a restore took back while it was being written (CONFIG).
test('pattern: store restored while a quarantine is stored; it is stored again', async (t) => {
  const clock = new ManualClock(1_000);
  const inner = new MemoryKeyedLog();
  const log = new RestoringLog(inner);
  const quarantine = new PromptQuarantine({ clock, trialRank: () => 0 });
  const sync = new QuarantineSync({
    quarantine,
    log,
    node: 'n1',
    incarnation: 1,
    now: () => clock.wall(),
    decisions: new DecisionLog({ node: 'n1', out: new PassThrough(), clock }),
    metrics: new GatewayMetrics(),
    isDivided: () => false,
    onHeld: () => undefined,
  });
  for (const runner of ['i1', 'i2', 'i3']) {
    const parts = [repeatKey('deadly')];
    const attempt = { runner, request: 'q', parts, hasResponded: false, sentAt: 0, aliveAt: 0 };
    quarantine.recordInterrupted(attempt);
    clock.advance(200);
  }
  clock.advance(400);
  sync.update();
  log.restoreAfterAppendTo(TOPIC);
  await sync.exchange();
  t.is((await inner.newest(TOPIC)).records.length, 0);
  await sync.exchange();
  t.is((await inner.newest(TOPIC)).records.length, 1);
});
