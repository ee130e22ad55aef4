import test from 'ava';
import { PromptQuarantine, repeatKey } from '@ragwortrudder/admission';
import { ManualClock } from '@ragwortrudder/core';

const ATTEMPT = { hasResponded: false, sentAt: 0, aliveAt: 0 };
const GAP_MS = 300;
const SETTLE_MS = 500;
/** Requests that wait at a busy runner by chance when it ends. */
const WAITING = 15;

function startNode(): { readonly clock: ManualClock; readonly node: PromptQuarantine } {
  const clock = new ManualClock(1_000_000);
  const node = new PromptQuarantine({ clock, trialRank: () => undefined });
  for (let served = 0; served < 40; served += 1) node.recordServed(['common']);
  return { clock, node };
}

/** Ends a busy runner; the requests that waited there by chance are never served. */
function crashBusy(node: PromptQuarantine, runner: string, causes: readonly string[]): void {
  for (const [index, cause] of causes.entries()) {
    const request = `${cause}-${runner}-${index}`;
    node.recordInterrupted({ ...ATTEMPT, runner, request, parts: ['common', cause] });
  }
  for (let index = 0; index < WAITING; index += 1) {
    const request = `q-${runner}-${index}`;
    const parts = ['common', repeatKey(request)];
    node.recordInterrupted({ ...ATTEMPT, runner, request, parts });
  }
}

// Guards against losing rare evidence to the many requests that were at a busy runner by chance (BUDGET).
test('pattern: busy runners; a part is found although its crashes are far apart', (t) => {
  const { clock, node } = startNode();
  for (let crash = 0; crash < 30; crash += 1) {
    const isBad = crash % 5 === 0;
    crashBusy(node, `i${crash}`, isBad ? ['bad'] : []);
    clock.advance(GAP_MS);
    for (let served = 0; served < 40; served += 1) node.recordServed(['common']);
    node.update();
  }
  clock.advance(SETTLE_MS);
  node.update();
  t.like(node.find(['bad']), { part: 'bad' });
});

// Guards against reports that lose what peers need to join their evidence with (BUDGET).
test('pattern: busy runners; nodes that each see a part of the crashes find the cause together', (t) => {
  const { clock, node } = startNode();
  const peer = new PromptQuarantine({ clock, trialRank: () => undefined });
  for (let crash = 0; crash < 12; crash += 1) {
    crashBusy(crash % 2 === 0 ? node : peer, `i${crash}`, crash % 2 === 0 ? ['bad'] : []);
    clock.advance(GAP_MS);
    for (const one of [node, peer]) for (let i = 0; i < 20; i += 1) one.recordServed(['common']);
    peer.setPeerEvidence({ node: 'n1', incarnation: '1' }, node.evidence);
    node.setPeerEvidence({ node: 'n2', incarnation: '1' }, peer.evidence);
  }
  clock.advance(SETTLE_MS);
  peer.update();
  t.like(peer.find(['bad']), { part: 'bad' });
});

// Guards against finding several causes one after the other, while the rarer ones go on (BUDGET).
test('pattern: busy runners; a part and requests that crash runners are found in one search', (t) => {
  const { clock, node } = startNode();
  const keys = ['a', 'b', 'c'].map(repeatKey);
  const causes = [...keys, 'bad', ...keys, 'bad', ...keys, 'bad', 'bad', 'bad', 'bad'];
  for (const [index, cause] of causes.entries()) {
    crashBusy(node, `i${index}`, [cause]);
    clock.advance(GAP_MS);
    for (let served = 0; served < 40; served += 1) node.recordServed(['common']);
  }
  clock.advance(SETTLE_MS);
  node.update();
  for (const cause of [...keys, 'bad']) t.like(node.find([cause]), { part: cause });
  t.is(node.find(['common']), undefined);
});

// Guards against clearing a part by responses of the next boot, which the list names later (BUDGET).
test('a crash counts once the list names the next boot, although that has responded before', (t) => {
  const { clock, node } = startNode();
  const runners = ['i1', 'i2', 'i3', 'i4', 'i5', 'i6'];
  node.setListed(new Set(runners.map((runner) => `${runner} 1`)));
  for (const runner of runners) {
    node.recordInterrupted({ ...ATTEMPT, runner: `${runner} 1`, request: runner, parts: ['bad'] });
    clock.advance(GAP_MS);
    node.recordAlive(`${runner} 1`, clock.monotonic());
    node.retract(`${runner} 1`, clock.monotonic() - GAP_MS - 100);
  }
  for (let served = 0; served < 40; served += 1) node.recordServed(['common']);
  clock.advance(SETTLE_MS);
  node.update();
  t.is(node.find(['bad']), undefined);
  node.setListed(new Set(runners.map((runner) => `${runner} 2`)));
  node.update();
  t.like(node.find(['bad']), { part: 'bad' });
});
