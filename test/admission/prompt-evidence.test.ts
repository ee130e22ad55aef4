import test from 'ava';
import { PromptEvidence, PromptQuarantine, repeatKey } from '@ragwortrudder/admission';
import { ManualClock } from '@ragwortrudder/core';

const STEP_MS = 500;
const STEPS = 600;

// Guards against: bounds of what nodes accept that what they send does not keep; a report that one value
// makes unreadable counts its node as lost.
test('peers can read the evidence of a quarantine at each time of its life', (t) => {
  const clock = new ManualClock(1_000_000);
  const quarantine = new PromptQuarantine({ clock, trialRank: () => undefined });
  for (const runner of ['i1', 'i2', 'i3']) {
    const parts = [repeatKey('deadly')];
    const attempt = { runner, request: 'q', parts, hasResponded: false, sentAt: 0, aliveAt: 0 };
    quarantine.recordInterrupted(attempt);
    clock.advance(200);
  }
  let sent = 0;
  let due = 0;
  for (let step = 0; step < STEPS; step += 1) {
    clock.advance(STEP_MS);
    quarantine.update();
    const { evidence } = quarantine;
    if (!evidence) continue;
    sent += 1;
    const wire: unknown = JSON.parse(JSON.stringify(evidence));
    t.deepEqual(PromptEvidence.safeParse(wire).error, undefined);
    if (evidence.quarantined.some(({ remainingMs }) => remainingMs < 0)) due += 1;
  }
  t.true(sent > 0 && due > 0, `${sent} sent, ${due} with a trial that was due`);
});
