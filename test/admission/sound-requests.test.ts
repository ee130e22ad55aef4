import test from 'ava';
import { PromptQuarantine, repeatKey } from '@ragwortrudder/admission';
import { ManualClock } from '@ragwortrudder/core';
import { simulateCrashingPrompts } from './simulate-crashing-prompts.ts';

const SOUND = repeatKey('asked for often');
const DEADLY = repeatKey('deadly');
/** Attempt that was sent long before it was interrupted. */
const ATTEMPT = { sentAt: 0, aliveAt: 0 };
const GAP_MS = 150;
const SETTLE_MS = 500;
const FIRST_TRIAL_MS = 2_000;
const CONTACT_MS = 3_000;
/** Arrivals of a crashing request that are allowed later than `CONTACT_MS` after the third crash. */
const MAX_LATE_ARRIVALS = 3;
const SEEDS = [1, 2, 3];
const SMALL_FLEET_SEEDS = 25;

function startNode(): { readonly clock: ManualClock; readonly node: PromptQuarantine } {
  const clock = new ManualClock(1_000_000);
  return { clock, node: new PromptQuarantine({ clock, trialRank: () => 0 }) };
}

function serve(node: PromptQuarantine, parts: readonly string[]): void {
  node.recordEnded({ runner: 'i0', request: 'q', parts, isFramed: true });
}

/** Ends a runner with requests that wait there and those that it responds to. */
function crash(
  { clock, node }: ReturnType<typeof startNode>,
  runner: string,
  waiting: readonly (readonly string[])[],
  responding: readonly (readonly string[])[] = [],
): void {
  for (const [index, parts] of [...waiting, ...responding].entries()) {
    const request = `q-${runner}-${index}`;
    const hasResponded = index >= waiting.length;
    node.recordInterrupted({ ...ATTEMPT, hasResponded, runner, request, parts });
  }
  clock.advance(GAP_MS);
}

// Guards against blaming a request for crashes under a prompt part that is found at the same time.
test('pattern: runners that end in turn under a prompt part; a request that is served often is not blamed', (t) => {
  const started = startNode();
  const { clock, node } = started;
  for (let served = 0; served < 30; served += 1) {
    serve(node, [SOUND]);
    node.recordServed(['common']);
    clock.advance(GAP_MS);
  }
  const bad = ['common', 'bad'];
  for (const runner of ['i1', 'i2', 'i3']) {
    crash(started, runner, [[SOUND]], [bad]);
    node.recordServed(['common']);
  }
  clock.advance(SETTLE_MS);
  node.update();
  t.like(node.find(bad), { part: 'bad' });
  t.is(node.find([SOUND]), undefined);
});

// Guards against blaming a request beside another one that crashes the runners that both are sent to.
test('a request that was never served is blamed in place of one that is served often', (t) => {
  const started = startNode();
  const { clock, node } = started;
  serve(node, [SOUND]);
  clock.advance(GAP_MS);
  for (const runner of ['i1', 'i2', 'i3', 'i4', 'i5', 'i6'])
    crash(started, runner, [[SOUND], [DEADLY]]);
  clock.advance(SETTLE_MS);
  node.update();
  t.like(node.find([DEADLY]), { part: DEADLY });
  t.is(node.find([SOUND]), undefined);
});

// Guards against blaming a request for crashes that a quarantined one explains.
test('crashes under a quarantined request alone blame no request that used to be served', (t) => {
  const started = startNode();
  const { clock, node } = started;
  serve(node, [SOUND]);
  for (const runner of ['i1', 'i2', 'i3']) crash(started, runner, [[DEADLY]]);
  clock.advance(SETTLE_MS);
  node.update();
  for (const runner of ['i4', 'i5', 'i6', 'i7', 'i8', 'i9'])
    crash(started, runner, [[SOUND], [DEADLY]]);
  clock.advance(SETTLE_MS);
  node.update();
  t.like(node.find([DEADLY]), { part: DEADLY });
  t.is(node.find([SOUND]), undefined);
});

// Guards against letting a request go on that crashes runners beside a quarantined one (BUDGET).
test('a request that crashes a runner alone is blamed for its earlier crashes beside a quarantined one', (t) => {
  const started = startNode();
  const { clock, node } = started;
  const other = repeatKey('other');
  serve(node, [other]);
  for (const runner of ['i1', 'i2', 'i3']) crash(started, runner, [[DEADLY]]);
  clock.advance(SETTLE_MS);
  node.update();
  for (const runner of ['i4', 'i5', 'i6', 'i7']) crash(started, runner, [[other], [DEADLY]]);
  crash(started, 'i8', [[other]]);
  clock.advance(SETTLE_MS);
  node.update();
  t.like(node.find([other]), { part: other });
});

for (const { perS, runners } of [
  { perS: 0.2, runners: 3 },
  { perS: 1, runners: 6 },
  { perS: 5, runners: 12 },
]) {
  // Guards against trusting a request that used to be served and crashes runners now (BUDGET).
  test(`pattern: deadly request that used to be served; ${perS} a second are contained`, (t) => {
    for (const seed of SEEDS) {
      const { arrivals, crashes, soundRejected, soundSent } = simulateCrashingPrompts({
        seed,
        lengthMs: 40_000,
        runners,
        plainShare: 0.8,
        crashing: [{ part: DEADLY, perS, fromMs: 0, untilMs: Infinity, soundUntilMs: 10_000 }],
      });
      const thirdAt = crashes.get(DEADLY)?.[2] ?? Infinity;
      const late = (arrivals.get(DEADLY) ?? []).filter((at) => at > thirdAt + CONTACT_MS).length;
      t.log(`seed ${seed}: ${late} late, ${soundRejected} of ${soundSent} sound rejected`);
      t.true(late <= MAX_LATE_ARRIVALS, `${late} late arrivals, seed ${seed}`);
    }
  });
}

for (const perS of [0.2, 0.5]) {
  // Guards against taking runners that end under a request and its retry, one after the other, for a rack.
  test(`pattern: deadly request that used to be served; ${perS} a second are contained at 3 nodes and 3 runners`, (t) => {
    for (let seed = 1; seed <= SMALL_FLEET_SEEDS; seed += 1) {
      const { arrivals, crashes } = simulateCrashingPrompts({
        seed,
        nodes: 3,
        runners: 3,
        lengthMs: 40_000,
        plainShare: 0.8,
        crashing: [{ part: DEADLY, perS, fromMs: 0, untilMs: Infinity, soundUntilMs: 10_000 }],
      });
      const thirdAt = crashes.get(DEADLY)?.[2] ?? Infinity;
      const late = (arrivals.get(DEADLY) ?? []).filter((at) => at > thirdAt + CONTACT_MS).length;
      t.true(late <= MAX_LATE_ARRIVALS, `${late} late arrivals, seed ${seed}`);
    }
  });
}

// Guards against blaming a request that was sent on within a rack while the rack was lost.
test('the ends of a rack that is lost within a moment do not blame a request that was sent on in it', (t) => {
  for (const gapMs of [20, 45, 55]) {
    const { clock, node } = startNode();
    serve(node, [SOUND]);
    for (const runner of ['i1', 'i2', 'i3']) {
      clock.advance(gapMs);
      const request = { runner, request: 'q1', parts: [SOUND], hasResponded: true };
      node.recordInterrupted({ ...ATTEMPT, ...request });
    }
    clock.advance(SETTLE_MS);
    node.update();
    t.is(node.find([SOUND]), undefined, `${gapMs} ms apart`);
  }
});

// Guards against a quarantine that outlasts its reason where all nodes have started a moment ago.
test('a request that was blamed by chance is served again after its first trial', (t) => {
  const started = startNode();
  const { clock, node } = started;
  for (const runner of ['i1', 'i2', 'i3']) crash(started, runner, [[SOUND]]);
  clock.advance(SETTLE_MS);
  node.update();
  t.like(node.find([SOUND]), { part: SOUND });
  clock.advance(FIRST_TRIAL_MS);
  t.is(node.find([SOUND]), undefined);
  serve(node, [SOUND]);
  node.update();
  t.is(node.find([SOUND]), undefined);
});
