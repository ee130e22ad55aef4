import test from 'ava';
import type { ExecutionContext } from 'ava';
import { ageEvidence, PromptQuarantine } from '@ragwortrudder/admission';
import { ManualClock } from '@ragwortrudder/core';
import { simulateCrashingPrompts } from './simulate-crashing-prompts.ts';

type Result = ReturnType<typeof simulateCrashingPrompts>;

const CONTACT_MS = 3_000;
/** Requests with a crashing part that may reach runners after the bound. */
const MAX_LATE_ARRIVALS = 3;
const SEEDS = Array.from({ length: 6 }, (_item, index) => index + 1);
const BAD = { part: 'bad', perS: 3, fromMs: 8_000, untilMs: Infinity };

function lateArrivals({ arrivals, crashes }: Result, part: string): number {
  const fifthAt = crashes.get(part)?.[4] ?? Infinity;
  return (arrivals.get(part) ?? []).filter((at) => at > fifthAt + CONTACT_MS).length;
}

function assertContained(t: ExecutionContext, result: Result, parts: readonly string[]): void {
  for (const part of parts) {
    const late = lateArrivals(result, part);
    t.true(late <= MAX_LATE_ARRIVALS, `${late} late arrivals of ${part}`);
    t.true(
      result.quarantined.some(([name]) => name === part),
      `${part} was not quarantined`,
    );
  }
  t.deepEqual(
    result.quarantined.filter(([name]) => !parts.includes(name)),
    [],
  );
  t.is(result.soundRejected, 0);
}

test('a part that crashes runners is quarantined on all nodes, and no other part is', (t) => {
  for (const seed of SEEDS) {
    const result = simulateCrashingPrompts({ seed, lengthMs: 60_000, crashing: [BAD] });
    assertContained(t, result, ['bad']);
  }
});

test('a part that comes rarely is quarantined too', (t) => {
  for (const seed of SEEDS) {
    const crashing = [{ ...BAD, perS: 0.15 }];
    const result = simulateCrashingPrompts({ seed, lengthMs: 100_000, crashing });
    const late = lateArrivals(result, 'bad');
    t.true(late <= MAX_LATE_ARRIVALS, `${late} late arrivals, seed ${seed}`);
    t.true(result.quarantined.every(([part]) => part === 'bad'));
  }
});

test('two crashing parts at the same time are both quarantined', (t) => {
  for (const seed of SEEDS) {
    const crashing = [BAD, { ...BAD, part: 'worse', fromMs: 8_500 }];
    const result = simulateCrashingPrompts({ seed, lengthMs: 60_000, crashing });
    assertContained(t, result, ['bad', 'worse']);
  }
});

test('a quarantine outlives the restart of all nodes', (t) => {
  for (const seed of SEEDS) {
    const options = {
      seed,
      lengthMs: 60_000,
      crashing: [BAD],
      restartsAt: [20_000, 21_000, 40_000],
    };
    assertContained(t, simulateCrashingPrompts(options), ['bad']);
  }
});

test('a node that hears no other one learns of a quarantine from the log', (t) => {
  for (const seed of SEEDS) {
    const options = { seed, lengthMs: 40_000, crashing: [BAD], isolated: new Set([4]) };
    const result = simulateCrashingPrompts(options);
    const late = lateArrivals(result, 'bad');
    t.true(late <= MAX_LATE_ARRIVALS, `${late} late arrivals, seed ${seed}`);
  }
});

test('pattern: large deployment; digests carry evidence and quarantines between failure domains', (t) => {
  for (const seed of SEEDS.slice(0, 5)) {
    const result = simulateCrashingPrompts({
      seed,
      lengthMs: 40_000,
      nodes: 36,
      domainNodes: 12,
      reportPeriodMs: 400,
      crashing: [BAD],
    });
    assertContained(t, result, ['bad']);
  }
});

test('pattern: loss of racks; no part is quarantined when runners end for another reason', (t) => {
  const rackLosses: readonly (readonly (readonly [number, number])[])[] = [
    [[10_000, 6]],
    [
      [10_000, 3],
      [11_000, 5],
      [12_000, 6],
      [17_000, 6],
      [18_000, 6],
    ],
    Array.from({ length: 30 }, (_item, index) => [10_000 + index * 700, 1 + (index % 6)] as const),
  ];
  for (const seed of SEEDS) {
    for (const losses of rackLosses) {
      const options = { seed, lengthMs: 45_000, crashing: [], rackLosses: losses };
      const { quarantined, soundRejected } = simulateCrashingPrompts(options);
      t.deepEqual(quarantined, [], `seed ${seed}`);
      t.is(soundRejected, 0);
    }
  }
});

test('a part is served again after its reason has ended, and one request finds that out', (t) => {
  for (const seed of SEEDS.slice(0, 5)) {
    const crashing = [{ ...BAD, untilMs: 30_000 }];
    const result = simulateCrashingPrompts({ seed, lengthMs: 120_000, crashing });
    const arrivals = result.arrivals.get('bad') ?? [];
    t.true(lateArrivalsUntil(result, 68_000) <= MAX_LATE_ARRIVALS);
    t.true(arrivals.filter((at) => at > 100_000).length > 20, 'not served again');
  }
});

function lateArrivalsUntil({ arrivals, crashes }: Result, untilMs: number): number {
  const fifthAt = crashes.get('bad')?.[4] ?? Infinity;
  return (arrivals.get('bad') ?? []).filter((at) => at > fifthAt + CONTACT_MS && at < untilMs)
    .length;
}

function interrupt(quarantine: PromptQuarantine, index: number): void {
  quarantine.recordInterrupted({
    runner: `i${index}`,
    request: `q${index}`,
    parts: ['common', 'bad'],
    hasResponded: true,
    sentAt: 0,
    aliveAt: 0,
  });
}

/** A node that has quarantined `bad`. */
function quarantinedNode(clock: ManualClock, isTrialNode = true): PromptQuarantine {
  const quarantine = new PromptQuarantine({
    clock,
    trialRank: () => (isTrialNode ? 0 : undefined),
  });
  for (let index = 0; index < 4; index += 1) {
    for (let served = 0; served < 10; served += 1) quarantine.recordServed(['common']);
    clock.advance(600);
    interrupt(quarantine, index);
    clock.advance(1);
    quarantine.recordServed(['common']);
  }
  clock.advance(400);
  quarantine.update();
  return quarantine;
}

test('a trial that fails extends the quarantine after a single crash', (t) => {
  const clock = new ManualClock();
  const quarantine = quarantinedNode(clock);
  t.is(quarantine.find(['common']), undefined);
  t.like(quarantine.find(['common', 'bad']), { part: 'bad' });
  clock.advance(60_000);
  t.is(quarantine.find(['common', 'bad']), undefined);
  t.false(quarantine.isHeld(['common', 'bad']));
  t.like(quarantine.find(['common', 'bad']), { part: 'bad' }, 'one trial at a time');
  interrupt(quarantine, 9);
  t.true(quarantine.isHeld(['common', 'bad']), 'the trial is not sent again');
  clock.advance(61_000);
  t.like(quarantine.find(['common', 'bad']), { part: 'bad' });
});

test('a node that is not the trial node sends nothing after the quarantine', (t) => {
  const clock = new ManualClock();
  const quarantine = quarantinedNode(clock, false);
  clock.advance(100_000);
  t.like(quarantine.find(['common', 'bad']), { part: 'bad' });
});

test('a served request ends the quarantine on the nodes that hear of it, and stale evidence does not renew it', (t) => {
  const clock = new ManualClock();
  const node = quarantinedNode(clock);
  const peer = new PromptQuarantine({ clock, trialRank: () => undefined });
  const stale = node.evidence;
  peer.setPeerEvidence({ node: 'n1', incarnation: '1' }, stale);
  t.like(peer.find(['bad']), { part: 'bad' });
  clock.advance(61_000);
  node.recordServed(['bad']);
  node.update();
  node.setPeerEvidence({ node: 'n2', incarnation: '1' }, peer.evidence);
  peer.setPeerEvidence({ node: 'n1', incarnation: '1' }, node.evidence);
  peer.update();
  t.is(peer.find(['bad']), undefined);
  peer.setPeerEvidence({ node: 'n3', incarnation: '1' }, stale && ageEvidence(stale, 61_000));
  t.is(peer.find(['bad']), undefined);
});

test('a response that ends just before its runner crashes counts as interrupted', (t) => {
  const clock = new ManualClock();
  const quarantine = new PromptQuarantine({ clock, trialRank: () => 0 });
  quarantine.recordEnded({ runner: 'i1', request: 'q1', parts: ['earlier'], isFramed: true });
  clock.advance(500);
  quarantine.recordEnded({ runner: 'i1', request: 'q2', parts: ['last'], isFramed: true });
  clock.advance(100);
  quarantine.recordInterrupted({
    runner: 'i1',
    request: 'q3',
    parts: ['other'],
    hasResponded: false,
    sentAt: 0,
    aliveAt: 0,
  });
  quarantine.recordEnded({ runner: 'i2', request: 'q4', parts: ['alone'], isFramed: true });
  quarantine.recordUnreachable('i2');
  quarantine.recordEnded({
    runner: 'i3',
    request: 'q5',
    parts: ['other', 'sound'],
    isFramed: true,
  });
  clock.advance(1_000);
  quarantine.update();
  const parts = quarantine.evidence?.interrupted.flatMap((item) => item.parts);
  t.deepEqual(parts, ['alone', 'last']);
});
