import test from 'ava';
import { ManualClock } from '@ragwortrudder/core';
import { LinkMonitor } from '@ragwortrudder/routing';

test('a link that is down is probed again and again, ever less often, until it is up', (t) => {
  const clock = new ManualClock();
  const links = new LinkMonitor(clock);
  t.true(links.recordFailure('r', 'refused'));
  t.false(links.recordFailure('r', 'refused'));
  let probes = 0;
  for (let ms = 0; ms < 4_000; ms += 50) {
    clock.advance(50);
    if (links.takeProbes().length === 0) continue;
    probes += 1;
    links.recordFailure('r', 'refused');
  }
  t.true(probes >= 4 && probes <= 12, `${probes} probes in 4 s`);
  t.true(links.recordSuccess('r'));
  clock.advance(5_000);
  t.deepEqual(links.takeProbes(), []);
});

test('a link that is up is probed on suspicion, at most once a second', (t) => {
  const clock = new ManualClock();
  const links = new LinkMonitor(clock);
  links.suspect('r');
  links.suspect('r');
  t.deepEqual(links.takeProbes(), ['r']);
  clock.advance(500);
  links.suspect('r');
  t.deepEqual(links.takeProbes(), []);
  clock.advance(600);
  links.suspect('r');
  t.deepEqual(links.takeProbes(), ['r']);
});

test('a lost link is this side’s fault once others have reached its runner, not before', (t) => {
  const links = new LinkMonitor(new ManualClock());
  const runners = ['r1', 'r2'];
  links.recordFailure('r1', 'silent');
  t.false(links.isOwnFault('r1', runners));
  links.recordReachedByPeer('r1');
  t.true(links.isOwnFault('r1', runners));
  t.false(links.isOwnFault('r2', runners), 'a link that is up');
  links.recordFailure('r2', 'silent');
  t.true(
    links.isOwnFault('r2', runners),
    'all links are lost, and a runner behind one of them lives',
  );
});

test('runners that end together are not this side’s fault', (t) => {
  const links = new LinkMonitor(new ManualClock());
  for (const runner of ['r1', 'r2', 'r3']) links.recordFailure(runner, 'refused');
  t.false(links.isOwnFault('r1', ['r1', 'r2', 'r3']));
});

test('what others reach long after a link was lost may be another runner at the same address', (t) => {
  const clock = new ManualClock();
  const links = new LinkMonitor(clock);
  links.recordFailure('r', 'refused');
  clock.advance(2_000);
  links.recordReachedByPeer('r');
  t.false(links.isOwnFault('r', ['r', 's']));
});
