import test from 'ava';
import { ManualClock } from '@ragwortrudder/core';
import { RunnerSpeeds } from '@ragwortrudder/routing';
import type { SpeedSums } from '@ragwortrudder/routing';

const SERVICE = 's';

function createSpeeds(clock: ManualClock): RunnerSpeeds {
  const speeds = new RunnerSpeeds({ clock });
  speeds.recordMomentary(SERVICE, 'other 1', 1);
  return speeds;
}

/** Sums of `count` samples that took `ratio` times as long as usual. */
function sumsOf(count: number, ratio: number): SpeedSums {
  return [count * 10, Math.round(count * Math.log(ratio) * 100)];
}

// Guards against a change for services whose runners state three values only.
test('nothing is recorded or reported for a service without a stated momentary speed', (t) => {
  const speeds = new RunnerSpeeds({ clock: new ManualClock() });
  speeds.record({ service: SERVICE, runner: 'a 1', kind: 'k', ratio: 3 });
  t.true(speeds.isEmpty);
  t.false(speeds.appliesTo(SERVICE));
  t.is(speeds.slownessOf('a 1'), 1);
  t.is(speeds.takeReport(), undefined);
  t.is(speeds.takeDigest([]), undefined);
});

// Guards against a value that changes many times a second and stays in force after its cause has gone.
test('a momentary speed decays to the lasting one within 300 ms', (t) => {
  const clock = new ManualClock();
  const speeds = createSpeeds(clock);
  speeds.setPeer('n', { 'a 1': sumsOf(1_000, 1.5) });
  speeds.recordMomentary(SERVICE, 'a 1', 2.5);
  t.true(speeds.slownessOf('a 1') > 3.6);
  clock.advance(150);
  const half = speeds.slownessOf('a 1');
  t.true(half > 2.5 && half < 2.7, String(half));
  clock.advance(150);
  t.is(speeds.slownessOf('a 1'), speeds.lastingOf('a 1'));
});

// Guards against odd figures of a runner or a peer that change the choice of runners.
test('odd figures change nothing', (t) => {
  const clock = new ManualClock();
  const speeds = createSpeeds(clock);
  for (const odd of [0, -1, NaN, Infinity, -Infinity]) {
    speeds.record({ service: SERVICE, runner: 'a 1', kind: 'k', ratio: odd });
    speeds.recordMomentary(SERVICE, 'a 1', odd);
  }
  const oddSums: readonly SpeedSums[] = [
    [0, 0],
    [-10, 5],
    [10, 1e15],
    [1e15, 1],
    [10, -1e9],
    [NaN, 0],
    [10, NaN],
    [Infinity, Infinity],
  ];
  for (const sums of oddSums) {
    speeds.setPeer('n', { 'a 1': sums });
    speeds.setDomain({ failureDomain: 'd', speeds: { 'a 1': sums }, includesOwn: false });
  }
  t.is(speeds.slownessOf('a 1'), 1);
  t.is(speeds.estimateOf('a 1'), undefined);
  t.deepEqual(speeds.takeRejected(), ['n', 'domain d'], 'each sender is named once');
  t.deepEqual(speeds.takeRejected(), []);
});

// Guards against estimates that send nothing, or everything, to one runner.
test('estimates and momentary speeds are bounded', (t) => {
  const speeds = createSpeeds(new ManualClock());
  speeds.setPeer('n', { 'a 1': sumsOf(9_000, 8), 'b 1': sumsOf(9_000, 0.2) });
  speeds.recordMomentary(SERVICE, 'a 1', 100);
  speeds.recordMomentary(SERVICE, 'b 1', 0.01);
  t.is(speeds.slownessOf('a 1'), 8);
  t.is(speeds.slownessOf('b 1'), 0.2);
});

// Guards against a slow estimate of an earlier boot that keeps requests away from the new one.
test('a new boot starts at 1', (t) => {
  const speeds = createSpeeds(new ManualClock());
  speeds.setPeer('n', { 'a 1': sumsOf(100, 3) });
  t.true(speeds.lastingOf('a 1') > 2.5);
  t.is(speeds.lastingOf('a 2'), 1);
});

// Guards against a runner that is avoided for good because nothing new is learned of it.
test('few samples count little, and old ones are discounted within about 20 s', (t) => {
  const clock = new ManualClock();
  const speeds = createSpeeds(clock);
  speeds.setPeer('n', { 'a 1': sumsOf(1, 3), 'b 1': sumsOf(20, 3) });
  t.true(speeds.lastingOf('a 1') < 1.3);
  t.true(speeds.lastingOf('b 1') > 2.3);
  clock.advance(20_000);
  t.true(speeds.lastingOf('b 1') < 1.7);
  clock.advance(40_000);
  t.true(speeds.lastingOf('b 1') < 1.03);
});

// Guards against samples that count twice when messages are repeated, or are lost when one is.
test('a repeated report counts once, and a lost one is made up for by the next', (t) => {
  const clock = new ManualClock();
  const sender = createSpeeds(clock);
  const receiver = createSpeeds(clock);
  const sample = { service: SERVICE, runner: 'a 1', kind: 'k' };
  sender.record({ ...sample, runner: 'b 1', ratio: 1 });
  sender.record({ ...sample, ratio: 3 });
  sender.takeReport();
  clock.advance(400);
  t.is(sender.takeReport(), undefined, 'without new samples nothing is reported');
  sender.record({ ...sample, ratio: 3 });
  const report = sender.takeReport() ?? {};
  t.deepEqual(Object.keys(report), ['a 1']);
  for (let times = 0; times < 3; times += 1) receiver.setPeer('n', report);
  const samples = receiver.estimateOf('a 1')?.samples ?? 0;
  t.true(samples > 1.8 && samples < 2.1, String(samples));
});

// Guards against own samples that come back in the digest of the node's own failure domain.
test('own samples in a digest of the own failure domain count once', (t) => {
  const clock = new ManualClock();
  const node = createSpeeds(clock);
  const relay = createSpeeds(clock);
  const sample = { service: SERVICE, runner: 'a 1', kind: 'k', ratio: 2 };
  for (let times = 0; times < 5; times += 1) node.record(sample);
  for (let times = 0; times < 3; times += 1) relay.record(sample);
  relay.setPeer('n', node.takeReport() ?? {});
  const speeds = relay.takeDigest(['n']) ?? {};
  node.setDomain({ failureDomain: 'd', speeds, includesOwn: true });
  t.is(Math.round(node.estimateOf('a 1')?.samples ?? 0), 8);
  t.is(node.estimateOf('a 1')?.ownSamples, 5);
  node.forgetDomain('d');
  t.is(Math.round(node.estimateOf('a 1')?.samples ?? 0), 5);
});

// Guards against digests that fill links of 7 Mbit/s shared by 60 nodes.
test('digests consist of few runners and whole numbers, and tell of all runners in turn', (t) => {
  const clock = new ManualClock();
  const relay = createSpeeds(clock);
  for (let index = 0; index < 60; index += 1) {
    relay.record({
      service: SERVICE,
      runner: `runner-${index} 1765053900000`,
      kind: 'k',
      ratio: 1 + index / 60,
    });
  }
  const told = new Set<string>();
  for (let round = 0; round < 3; round += 1) {
    const digest = relay.takeDigest([]) ?? {};
    t.true(JSON.stringify(digest).length < 1_000);
    t.true(Object.values(digest).flat().every(Number.isInteger));
    for (const runner of Object.keys(digest)) told.add(runner);
    clock.advance(200);
  }
  t.is(told.size, 60);
  t.is(relay.takeDigest([]), undefined);
});

// Guards against maps that grow with each restart of a runner, and log lines without bound.
test('runners that are no longer listed are dropped, and few changes are told', (t) => {
  const clock = new ManualClock();
  const speeds = createSpeeds(clock);
  const many = Array.from({ length: 100 }, (_, index) => [`r${index} 1`, sumsOf(100, 3)] as const);
  speeds.setPeer('n', Object.fromEntries(many));
  clock.advance(5_000);
  const changes = speeds.takeChanges();
  t.true(changes.length > 0 && changes.length <= 8);
  t.deepEqual(speeds.takeChanges(), [], 'not again within the interval');
  speeds.retain(new Set(['r1 1']), new Set([SERVICE]));
  t.is(speeds.size, 1);
  clock.advance(5_000);
  speeds.retain(new Set(), new Set());
  t.true(speeds.isEmpty);
});
