import { Writable } from 'node:stream';
import test from 'ava';
import { PromptQuarantine } from '@ragwortrudder/admission';
import { ManualClock, SeededRandom } from '@ragwortrudder/core';
import { MemoryKeyedLog } from '@ragwortrudder/log';
import { DecisionLog } from '../../packages/gateway/src/node/decision-log.ts';
import { DutyTermStore } from '../../packages/gateway/src/node/duty-term-store.ts';
import { createTermStore } from './create-term-store.ts';
import { GatewayMetrics } from '../../packages/gateway/src/node/gateway-metrics.ts';
import { QuarantineSync } from '../../packages/gateway/src/node/quarantine-sync.ts';
import { Rollouts } from '../../packages/gateway/src/node/rollouts.ts';
import { UsageDuty } from '../../packages/gateway/src/node/usage-duty.ts';
import { UsageCounter } from '../../packages/gateway/src/utils/usage-counter.ts';
import { InMemoryCloudApi } from './in-memory-cloud-api.ts';

const WINDOW_MS = 5_000;
const START_MS = 1_000 * WINDOW_MS;
const DEEP = `${'['.repeat(60_000)}${']'.repeat(60_000)}`;
/** Records that another writer may have left among those of the duty holder. */
const POISONED: readonly (readonly [key: string, text: string])[] = [
  ['usage-1', '{"window":1e15,"counts":{"a":1}}'],
  ['usage-1', '{"window":1e308,"counts":{"a":1}}'],
  ['usage-1', '{"window":1000,"counts":null}'],
  ['usage-1', '{"window":1000,"counts":{"a":1e400}}'],
  ['usage-1', 'null'],
  ['usage-1', DEEP],
  ['others', DEEP],
  ['draft-of-usage', '{"lives":{"n9 1":{"NaN":{"a":5}}}}'],
  ['draft-of-usage', '{"lives":{"n9 1":{"1000":{"a":1e400}}}}'],
  ['draft-of-usage', '[]'],
  ['term', '{"holder":"n9","token":1e308}'],
  ['term', '{"holder":"n9","token":-1}'],
  ['term', '{"holder":9,"token":1}'],
  ['term', 'null'],
  ['term', DEEP],
];

interface TestLog {
  readonly decisions: DecisionLog;
  readonly lines: readonly string[];
}

function createLog(clock: ManualClock): TestLog {
  const lines: string[] = [];
  const out = new Writable({
    write: (chunk: Buffer, _encoding, done) => {
      lines.push(chunk.toString());
      done();
    },
  });
  return { decisions: new DecisionLog({ node: 'n1', out, clock }), lines };
}

// Guards against: an odd record of the duty holder ended the reports of usage for ever, or the duties.
for (const [key, text] of POISONED) {
  test(`an odd record of the duties harms no report: ${key} ${text.slice(0, 50)}`, async (t) => {
    const clock = new ManualClock(START_MS);
    const cloud = new InMemoryCloudApi();
    const log = new MemoryKeyedLog();
    const { decisions } = createLog(clock);
    await log.append({ topic: DutyTermStore.topic, key, value: Buffer.from(text) });
    const usage = new UsageCounter(WINDOW_MS, 'n1 1');
    const duty = new UsageDuty({
      cloud,
      usage,
      peers: { hasSilentPeer: () => false },
      disciplinedClock: { now: () => clock.wall() },
      log: decisions,
      windowMs: WINDOW_MS,
      lateMs: 10_000,
    });
    const termStore = createTermStore({ log, node: 'n1', decisions });
    t.true((await termStore.takeOver()).isTaken);
    t.true(Number.isSafeInteger(termStore.term?.fencingToken));
    duty.begin(termStore);
    usage.recordStart('a', clock.wall());
    clock.advance(WINDOW_MS + 1_600);
    t.true(await termStore.confirm());
    await duty.perform(termStore);
    t.deepEqual(
      cloud.calls.map(({ report }) => report),
      [{ window: 1_000, counts: { a: 1 } }],
    );
  });
}

test('odd records of quarantined parts and roll-outs are logged and change nothing', async (t) => {
  const clock = new ManualClock(START_MS);
  const log = new MemoryKeyedLog();
  const { decisions, lines } = createLog(clock);
  const quarantine = new PromptQuarantine({ clock, trialRank: () => 0 });
  for (const [node, text] of [
    ['n2', DEEP],
    ['n3', 'null'],
    ['n4', '{"life":1,"at":1e400,"evidence":{}}'],
    [
      'n5',
      '{"life":1,"at":1,"evidence":{"interrupted":[],"served":{"a":1e400},"servedCount":1e400,"quarantined":[]}}',
    ],
  ] as const) {
    await log.append({ topic: 'quarantine', key: node, value: Buffer.from(text) });
  }
  const sync = new QuarantineSync({
    quarantine,
    log,
    node: 'n1',
    incarnation: 1,
    now: () => clock.wall(),
    decisions,
    metrics: new GatewayMetrics(),
    isDivided: () => true,
    onHeld: () => undefined,
  });
  await sync.exchange();
  await sync.exchange();
  sync.update();
  t.is(lines.filter((line) => line.includes('"topic":"quarantine"')).length, 4);

  const rollouts = new Rollouts({ clock, random: new SeededRandom(1), log: decisions });
  rollouts.applyOrder({ service: 's', targetVersion: 'v2', durationMs: 1_000 });
  for (const state of [null, [], { service: 's' }, { service: 's', share: 2 }])
    rollouts.applyState(state);
  t.is(rollouts.stateOf('s'), undefined);
  t.is(lines.filter((line) => line.includes('"topic":"duties"')).length, 1);
});
