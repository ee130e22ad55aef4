import test from 'ava';
import { ManualClock } from '@ragwortrudder/core';
import { RunnerBounds } from '../../packages/gateway/src/node/runner-bounds.ts';

const PEERS = { reachableIds: () => [], knownIds: () => [] };

// Guards against a log that grows with each sample, and against changes that an operator cannot see.
test('changed estimates and odd figures are logged and counted, a few in 5 s', (t) => {
  const clock = new ManualClock();
  const lines: { readonly event: string; readonly fields: unknown }[] = [];
  const counts = new Map<string, number>();
  const bounds = new RunnerBounds({
    clock,
    node: 'n',
    log: {
      notable: (event, fields) => {
        lines.push({ event, fields });
      },
      rejected: () => undefined,
    },
    settings: () => ({}),
    metrics: {
      count: (name) => {
        counts.set(name, (counts.get(name) ?? 0) + 1);
      },
    },
    onChange: () => undefined,
  });
  const slow = Array.from({ length: 20 }, (_, index) => [`r${index} 1`, [1_000, 11_000]] as const);
  bounds.speeds.setPeer('peer', Object.fromEntries(slow));
  bounds.speeds.setPeer('odd', { 'r0 1': [-1, 0] });
  for (let now = 0; now <= 5_000; now += 200) {
    bounds.update(PEERS, true);
    clock.advance(200);
  }
  t.is(counts.get('runner_speed_changes'), 8);
  t.is(counts.get('runner_speeds_rejected'), 1);
  t.deepEqual(lines[0], { event: 'runner-speeds-rejected', fields: { source: 'odd' } });
  t.is(lines.length, 9);
  const [, change] = lines;
  t.deepEqual(change, {
    event: 'runner-speed',
    fields: { runner: 'r0 1', slowness: 2.81, before: 1, samples: 61 },
  });
});
