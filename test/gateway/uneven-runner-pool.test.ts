import { Writable } from 'node:stream';
import test from 'ava';
import { BrittleRunners, StatedLimits } from '@ragwortrudder/admission';
import { RunnerDirectory } from '@ragwortrudder/catalog';
import type { Service } from '@ragwortrudder/catalog';
import { ManualClock, SeededRandom } from '@ragwortrudder/core';
import {
  EvacuatedDomains,
  placeModelRequest,
  rendezvousOrder,
  RunnerSpeeds,
} from '@ragwortrudder/routing';
import { DecisionLog } from '../../packages/gateway/src/node/decision-log.ts';
import { RunnerPool } from '../../packages/gateway/src/node/runner-pool.ts';
import { RunnerLoadTracker } from '../../packages/gateway/src/utils/runner-load-tracker.ts';
import { entryOf } from '../catalog/entry-of.ts';

const COUNT = 60;
const LOAD = { running: 1, waiting: 0, slots: 4 };
const SERVICE = { name: 's', maxConnections: 0 } as Service;
const entries = Array.from({ length: COUNT }, (_, index) =>
  entryOf({ id: `r${index}`, address: { host: '127.0.0.1', port: index + 1 } }),
);
const first = entries[0] ?? entryOf();
const time = { route: 'route', tookMs: 100, usualMs: 100 };

function createPool(): {
  readonly pool: RunnerPool;
  readonly speeds: RunnerSpeeds;
  readonly clock: ManualClock;
  readonly lines: () => number;
} {
  const clock = new ManualClock();
  let lines = 0;
  const out = new Writable({
    write: (_chunk, _encoding, done) => {
      lines += 1;
      done();
    },
  });
  const directory = new RunnerDirectory({ clock });
  directory.replaceAll(entries);
  const rank = (_runner: string, nodes: readonly string[]): readonly string[] => nodes;
  const speeds = new RunnerSpeeds({ clock });
  const pool = new RunnerPool({
    directory,
    evacuated: new EvacuatedDomains(clock),
    loadTracker: new RunnerLoadTracker(clock),
    limits: new StatedLimits({ clock, node: 'n', rank }),
    brittle: new BrittleRunners({ clock, node: 'n', rank, onChange: () => undefined }),
    speeds,
    clock,
    log: new DecisionLog({ node: 'n', out, clock }),
    onLeaving: () => undefined,
    onLinksChanged: () => undefined,
    nodeCount: () => 60,
  });
  return { pool, speeds, clock, lines: () => lines };
}

// Guards against a change for services whose runners state three values only.
test('all runners are candidates, with their latency ratios, while none states a momentary speed', async (t) => {
  const { pool, speeds } = createPool();
  pool.recordLoad(first, LOAD);
  pool.agentOf(first);
  pool.recordSuccess(first, 3, time);
  const sampling = { random: new SeededRandom(1), session: 'x', lastRunner: 'r7' };
  const candidates = pool.candidates(SERVICE, { sampling });
  t.is(candidates.length, COUNT);
  t.true(candidates.every(({ isHome }) => isHome === undefined));
  t.is(candidates.find(({ id }) => id === first.id)?.slowness, 1.2);
  t.true(speeds.isEmpty);
  await pool.close();
});

// Guards against a choice that is made anew among all runners for each request, and loses sessions' prefixes.
test('few runners are candidates of a service with momentary speeds, the home runner among them', async (t) => {
  const { pool } = createPool();
  pool.recordLoad(first, { ...LOAD, slowness: 2.5 });
  const random = new SeededRandom(1);
  const home = rendezvousOrder(
    'x',
    entries.map(({ id }) => id),
    (id) => id,
  )[0];
  for (let times = 0; times < 100; times += 1) {
    const sampling = { random, session: 'x', lastRunner: 'r7' };
    const candidates = pool.candidates(SERVICE, { sampling });
    t.true(candidates.length <= 6);
    t.deepEqual(
      candidates.filter(({ isHome }) => isHome).map(({ id }) => id),
      [home],
    );
    t.true(candidates.some(({ id }) => id === 'r7'));
  }
  t.is(pool.candidates(SERVICE).length, COUNT, 'all are listed where nothing is chosen');
  await pool.close();
});

test('a candidate is as slow as it states, and as it is in the long run after 300 ms', async (t) => {
  const { pool, clock } = createPool();
  pool.recordLoad(first, { ...LOAD, slowness: 2.5 });
  const slowness = (): number | undefined =>
    pool.candidates(SERVICE).find(({ id }) => id === first.id)?.slowness;
  t.is(slowness(), 2.5);
  clock.advance(300);
  t.is(slowness(), 1);
  await pool.close();
});

// Guards against many log lines about a runner that states odd values in each response.
test('an invalid momentary speed is logged once and does not turn on the choice by speed', async (t) => {
  const { pool, speeds, lines } = createPool();
  for (let times = 0; times < 10; times += 1) {
    pool.recordLoad(first, { ...LOAD, hasInvalidSlowness: true });
  }
  t.is(lines(), 1);
  t.false(speeds.appliesTo('s'));
  await pool.close();
});

// Guards against a discount for a cached prefix at a runner that is not the session's home.
test('no candidate counts as home when the home runner is not among those drawn', (t) => {
  const base = { failureDomain: 'a', slots: 4, kvTokens: 0, kvCapacityTokens: 0, slowness: 1 };
  const placed = placeModelRequest(
    {
      ...{ ownTokens: 10, sharedTokens: 1_000, outputTokens: 1, session: 'x' },
      ...{ failureDomain: 'a', prefillMsPerToken: 1 },
    },
    ['a', 'b'].map((id) => ({ ...base, id, inFlight: 0, prefillTokens: 0, isHome: false })),
    new SeededRandom(1),
  );
  t.is(placed?.prefillTokens, 1_010);
});

// Guards against a node that sends a burst to a runner because the runner's last response said that it was idle.
test('requests sent since a runner stated its load and momentary speed are counted', (t) => {
  const tracker = new RunnerLoadTracker(new ManualClock());
  const one = { requests: 1, prefillTokens: 0, kvTokens: 0 };
  tracker.setReportedLoad('a', { ...LOAD, running: 3, slowness: 1 });
  tracker.setReportedLoad('b', { ...LOAD, running: 3 });
  for (const id of ['a', 'b']) {
    tracker.add(id, one);
    tracker.add(id, one);
  }
  t.is(tracker.workAt('a').requests, 5);
  t.is(tracker.workAt('b').requests, 3, 'as before where no momentary speed is stated');
});

// Guards against a choice by draw that passes over what the choice among all runners respects.
test('runners that are draining, not allowed or unreachable are not drawn', async (t) => {
  const { pool, clock } = createPool();
  pool.recordLoad(first, { ...LOAD, slowness: 1 });
  const sampling = { random: new SeededRandom(2), session: 'x', lastRunner: 'r7' };
  const drawnIds = (): ReadonlySet<string> => {
    const isAllowed = ({ id }: { readonly id: string }): boolean => id !== 'r7';
    const draws = Array.from({ length: 200 }, () =>
      pool.candidates(SERVICE, { sampling, isAllowed }).map(({ id }) => id),
    );
    return new Set(draws.flat());
  };
  pool.recordLeaving(first);
  pool.agentOf(entries[1] ?? first);
  pool.markUnreachable(entries[1] ?? first, 'refused');
  const whileUnreachable = drawnIds();
  t.is(whileUnreachable.size, COUNT - 3);
  for (const id of ['r0', 'r1', 'r7']) t.false(whileUnreachable.has(id), id);
  clock.advance(400);
  t.true(drawnIds().has('r1'), 'it is drawn again after its time');
  await pool.close();
});

// Guards against a rejection while runners are left, because the ones drawn have no room.
test('runners that are set aside are used when no other is left', async (t) => {
  const { pool, clock } = createPool();
  pool.recordLoad(first, { ...LOAD, slowness: 1 });
  clock.advance(10);
  const sampling = { random: new SeededRandom(2), session: '', lastRunner: undefined };
  const isAllowed = ({ id }: { readonly id: string }): boolean => id === 'r3';
  const third = entries[3] ?? first;
  for (let times = 0; times < 5; times += 1) pool.recordFailure(third);
  const candidates = pool.candidates(SERVICE, { sampling, isAllowed });
  t.deepEqual(
    candidates.map(({ id }) => id),
    ['r3'],
  );
  await pool.close();
});
