import test from 'ava';
import { PromptQuarantine, repeatKey } from '@ragwortrudder/admission';
import { ManualClock } from '@ragwortrudder/core';

const SOUND = repeatKey('asked for often');
const DEADLY = repeatKey('deadly');
/** Attempt that was sent long before it was interrupted. */
const ATTEMPT = { request: 'q', hasResponded: false, sentAt: 0, aliveAt: 0 };
const GAP_MS = 150;
const SETTLE_MS = 500;

function startNode(): { readonly clock: ManualClock; readonly node: PromptQuarantine } {
  const clock = new ManualClock(1_000_000);
  return { clock, node: new PromptQuarantine({ clock, trialRank: () => 0 }) };
}

// Guards against blaming a request for interruptions at a runner that lives on (503 request-quarantined).
test('pattern: runner that resets its responses beside two crashes; a sound request is not blamed', (t) => {
  const { clock, node } = startNode();
  node.recordInterrupted({ ...ATTEMPT, runner: 'resetting', parts: [SOUND] });
  clock.advance(GAP_MS);
  node.recordAlive('resetting', clock.monotonic());
  for (const runner of ['i1', 'i2']) {
    node.recordInterrupted({ ...ATTEMPT, runner, parts: [SOUND] });
    clock.advance(GAP_MS);
  }
  clock.advance(SETTLE_MS);
  node.update();
  t.is(node.find([SOUND]), undefined);
});

// Guards against blaming a request by what a peer reports of a runner that lives on.
test('an interruption that a peer reports does not count either if its runner lives on', (t) => {
  const { clock, node } = startNode();
  const peer = new PromptQuarantine({ clock, trialRank: () => undefined });
  peer.recordInterrupted({ ...ATTEMPT, runner: 'resetting', parts: [SOUND] });
  clock.advance(GAP_MS);
  node.recordAlive('resetting', clock.monotonic());
  node.setPeerEvidence({ node: 'n2', incarnation: '1' }, peer.evidence);
  for (const runner of ['i1', 'i2']) {
    node.recordInterrupted({ ...ATTEMPT, runner, parts: [SOUND] });
    clock.advance(GAP_MS);
  }
  clock.advance(SETTLE_MS);
  node.update();
  t.is(node.find([SOUND]), undefined);
});

// Guards against clearing a request by responses of a runner that started again at its address (BUDGET).
test('a crash counts although the next boot of its runner responds under its name', (t) => {
  const { clock, node } = startNode();
  for (const runner of ['i1', 'i2', 'i3']) {
    node.recordInterrupted({ ...ATTEMPT, runner, parts: [DEADLY] });
    clock.advance(GAP_MS);
    node.recordUnreachable(runner);
    clock.advance(GAP_MS);
    node.recordAlive(runner, clock.monotonic());
  }
  clock.advance(SETTLE_MS);
  node.update();
  t.like(node.find([DEADLY]), { part: DEADLY });
});

// Guards against clearing a request by a response that was sent before the crash (BUDGET).
test('a crash counts although a response arrives to a request that was sent before it', (t) => {
  const { clock, node } = startNode();
  for (const runner of ['i1', 'i2', 'i3']) {
    const sentAt = clock.monotonic();
    clock.advance(GAP_MS);
    node.recordInterrupted({ ...ATTEMPT, runner, parts: [DEADLY] });
    node.recordAlive(runner, sentAt);
  }
  clock.advance(SETTLE_MS);
  node.update();
  t.like(node.find([DEADLY]), { part: DEADLY });
});

// Guards against blaming a request for a runner that resets it whenever it comes, and may not respond to
// anything else (503 request-quarantined).
test('interruptions at one runner, seconds apart, blame no request', (t) => {
  const { clock, node } = startNode();
  for (let times = 0; times < 6; times += 1) {
    node.recordInterrupted({
      ...ATTEMPT,
      runner: 'resetting',
      parts: [SOUND],
      sentAt: clock.monotonic(),
    });
    clock.advance(2_000);
    t.deepEqual(node.update(), []);
  }
});
