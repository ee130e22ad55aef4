import test from 'ava';
import { PromptQuarantine, repeatKey } from '@ragwortrudder/admission';
import { ManualClock } from '@ragwortrudder/core';
import { simulateCrashingPrompts } from './simulate-crashing-prompts.ts';

const CONTACT_MS = 3_000;
/** Arrivals of a crashing request that are allowed later than `CONTACT_MS` after the third crash. */
const MAX_LATE_ARRIVALS = 3;
/** Share of the sound requests that must go on, by the platform's rule for crashing prompts. */
const MIN_SOUND_SHARE = 0.5;
const SEEDS = [1, 2, 3];
const DEADLY = repeatKey('deadly');
/** Attempt that was sent long before its runner ended. */
const ATTEMPT = { request: 'q', hasResponded: false, sentAt: 0, aliveAt: 0 };
const LOAD = { part: DEADLY, perS: 1, fromMs: 5_000, untilMs: Infinity };

function lateArrivals(
  { arrivals, crashes }: ReturnType<typeof simulateCrashingPrompts>,
  part: string,
): number {
  const thirdAt = crashes.get(part)?.[2] ?? Infinity;
  return (arrivals.get(part) ?? []).filter((at) => at > thirdAt + CONTACT_MS).length;
}

for (const { nodes, domainNodes, runners, perS } of [
  { nodes: 3, domainNodes: 3, runners: 3, perS: 0.2 },
  { nodes: 9, domainNodes: 9, runners: 3, perS: 1 },
  { nodes: 9, domainNodes: 9, runners: 12, perS: 5 },
  { nodes: 84, domainNodes: 28, runners: 24, perS: 3 },
]) {
  // Guards against sending one request that crashes runners to one runner after the other (BUDGET).
  test(`pattern: deadly request; ${perS} a second at ${nodes} nodes and ${runners} runners are contained`, (t) => {
    for (const seed of SEEDS) {
      const result = simulateCrashingPrompts({
        seed,
        lengthMs: 30_000,
        nodes,
        domainNodes,
        reportPeriodMs: nodes > 12 ? 400 : 200,
        runners,
        plainShare: 0.8,
        crashing: [{ ...LOAD, perS }],
      });
      const late = lateArrivals(result, DEADLY);
      t.true(late <= MAX_LATE_ARRIVALS, `${late} late arrivals, seed ${seed}`);
      const { soundRejected, soundSent } = result;
      t.log(`seed ${seed}: ${late} late, ${soundRejected} of ${soundSent} sound rejected`);
      t.true(soundRejected <= (1 - MIN_SOUND_SHARE) * soundSent);
    }
  });
}

test('pattern: deadly request; five at a time, beside restarts of all nodes, are contained', (t) => {
  for (const seed of SEEDS) {
    const parts = ['a', 'b', 'c', 'd', 'e'].map(repeatKey);
    const result = simulateCrashingPrompts({
      seed,
      lengthMs: 40_000,
      runners: 12,
      plainShare: 0.8,
      crashing: parts.map((part) => ({ ...LOAD, part })),
      restartsAt: [25_000],
    });
    for (const part of parts) {
      const late = lateArrivals(result, part);
      t.true(late <= MAX_LATE_ARRIVALS, `${late} late arrivals of ${part}, seed ${seed}`);
    }
    const { soundRejected, soundSent } = result;
    t.log(`seed ${seed}: ${soundRejected} of ${soundSent} sound rejected`);
    t.true(soundRejected <= (1 - MIN_SOUND_SHARE) * soundSent);
  }
});

test('pattern: loss of racks; no request that came again is blamed', (t) => {
  const losses = Array.from(
    { length: 30 },
    (_item, index) => [5_000 + index * 700, 1 + (index % 6)] as const,
  );
  for (const seed of SEEDS) {
    const { quarantined, soundRejected } = simulateCrashingPrompts({
      seed,
      lengthMs: 30_000,
      plainShare: 0.8,
      crashing: [],
      rackLosses: losses,
    });
    t.deepEqual(quarantined, [], `seed ${seed}`);
    t.is(soundRejected, 0);
  }
});

test('a request that no longer crashes runners is served again, also where its caller reaches one node only', (t) => {
  const clock = new ManualClock();
  const node = new PromptQuarantine({ clock, trialRank: () => 1 });
  const parts = [DEADLY];
  for (const runner of ['i1', 'i2', 'i3']) {
    node.recordInterrupted({ ...ATTEMPT, runner, parts });
    clock.advance(200);
  }
  clock.advance(400);
  node.update();
  t.like(node.find(parts), { part: DEADLY });
  clock.advance(8_500);
  t.is(node.find(parts), undefined);
  node.recordEnded({ runner: 'i4', request: 'q', parts, isFramed: true });
  clock.advance(600);
  node.update();
  t.is(node.find(parts), undefined);
  t.false(node.isHeld(parts));
});

// Guards against blaming a sound request that is asked for all the time and runs beside a deadly one.
test('a request that is served between the crashes is not blamed for them', (t) => {
  const clock = new ManualClock();
  const node = new PromptQuarantine({ clock, trialRank: () => 0 });
  const sound = [repeatKey('asked for often')];
  for (const runner of ['i1', 'i2', 'i3', 'i4']) {
    for (const parts of [sound, [DEADLY]]) {
      node.recordInterrupted({ ...ATTEMPT, runner, parts });
    }
    clock.advance(60);
    node.recordEnded({ runner: 'i5', request: 'q', parts: sound, isFramed: true });
    clock.advance(60);
  }
  node.recordInterrupted({ ...ATTEMPT, runner: 'i5', parts: sound });
  clock.advance(400);
  node.update();
  t.is(node.find(sound), undefined);
  t.like(node.find([DEADLY]), { part: DEADLY });
});

test('a response without framing proves a request only if its runner lives on', (t) => {
  const clock = new ManualClock();
  const node = new PromptQuarantine({ clock, trialRank: () => 0 });
  for (const runner of ['i1', 'i2', 'i3']) {
    node.recordEnded({ runner, request: 'q', parts: [DEADLY], isFramed: false });
    node.recordUnreachable(runner);
    clock.advance(200);
  }
  clock.advance(400);
  node.update();
  t.like(node.find([DEADLY]), { part: DEADLY });
});

// Guards against blaming requests that are sent on to runners that have ended already.
test('requests that were sent to a runner after it had ended are no evidence', (t) => {
  const clock = new ManualClock(1_000);
  const node = new PromptQuarantine({ clock, trialRank: () => 0 });
  const late = [repeatKey('late')];
  for (const runner of ['i1', 'i2', 'i3']) {
    const sentAt = clock.monotonic();
    clock.advance(50);
    node.recordInterrupted({ ...ATTEMPT, runner, parts: [DEADLY], sentAt });
    clock.advance(5);
    node.recordInterrupted({ ...ATTEMPT, runner, parts: late, sentAt: clock.monotonic() - 2 });
    clock.advance(200);
  }
  clock.advance(400);
  node.update();
  t.is(node.find(late), undefined);
  t.like(node.find([DEADLY]), { part: DEADLY });
});

// Guards against blaming a request by what a peer had seen before the request was served.
test('evidence that a peer no longer reports is dropped', (t) => {
  const clock = new ManualClock(1_000);
  const peer = new PromptQuarantine({ clock, trialRank: () => 0 });
  const node = new PromptQuarantine({ clock, trialRank: () => 0 });
  const sound = [repeatKey('sound')];
  for (const runner of ['i1', 'i2']) {
    peer.recordInterrupted({ ...ATTEMPT, runner, parts: sound });
    clock.advance(200);
  }
  node.setPeerEvidence({ node: 'n2', incarnation: '1' }, peer.evidence);
  clock.advance(100);
  peer.recordEnded({ runner: 'i4', request: 'q', parts: sound, isFramed: true });
  peer.update();
  node.setPeerEvidence({ node: 'n2', incarnation: '1' }, peer.evidence);
  clock.advance(100);
  node.recordInterrupted({ ...ATTEMPT, runner: 'i3', parts: sound });
  clock.advance(500);
  node.update();
  t.is(node.find(sound), undefined);
});
