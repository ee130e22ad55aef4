import { Writable } from 'node:stream';
import test from 'ava';
import { RunnerDirectory } from '@ragwortrudder/catalog';
import type { RolloutOrder, RunnerEntry } from '@ragwortrudder/catalog';
import { ManualClock, SeededRandom } from '@ragwortrudder/core';
import { MemoryKeyedLog } from '@ragwortrudder/log';
import { DecisionLog } from '../../packages/gateway/src/node/decision-log.ts';
import type { DutyTermStore } from '../../packages/gateway/src/node/duty-term-store.ts';
import { createTermStore } from './create-term-store.ts';
import { RolloutDuty } from '../../packages/gateway/src/node/rollout-duty.ts';
import { Rollouts } from '../../packages/gateway/src/node/rollouts.ts';
import { RolloutState } from '../../packages/gateway/src/types/rollout-state.ts';
import type { RolloutStatus } from '../../packages/gateway/src/types/rollout-status.ts';
import { planRollout } from '../../packages/gateway/src/utils/plan-rollout.ts';

interface Answer {
  readonly kind: 'success' | 'failure';
  readonly latencyRatio?: number;
}

interface Deployment {
  readonly clock: ManualClock;
  readonly nodes: readonly Rollouts[];
  readonly holder: Rollouts;
  readonly statuses: readonly RolloutStatus['state'][];
  readonly duty: RolloutDuty;
  readonly termStore: DutyTermStore;
}

interface RolloutResult {
  readonly total: number;
  readonly target: number;
  readonly statuses: readonly RolloutStatus['state'][];
  /** Time of the last request to the target, in milliseconds after the order. */
  readonly lastTargetMs: number;
}

const SERVICE = 's';
const ORDER = { service: SERVICE, targetVersion: 'v2', durationMs: 15_000 };
const TICK_MS = 500;
/** Limits of the platform for a bad version: a share of the requests and some more. */
const CANARY_SHARE = 0.1;
const CANARY_SLACK = 50;
const NODES = 3;
const ROUTES = ['ask', 'draft'] as const;

function entryOf(version: string): RunnerEntry {
  return {
    id: `r-${version}`,
    service: SERVICE,
    address: { host: '127.0.0.1', port: 1 },
    failureDomain: 'a',
    version,
    slots: 8,
    isDraining: false,
    coldMs: 0,
    bornMs: 1,
    isSpot: false,
  };
}

function createNode(clock: ManualClock, seed: number): Rollouts {
  const out = new Writable({
    write: (_chunk, _encoding, done) => {
      done();
    },
  });
  const log = new DecisionLog({ node: 'n', out, clock });
  return new Rollouts({ clock, random: new SeededRandom(seed), log });
}

function createDuty(
  rollouts: Rollouts,
  clock: ManualClock,
  statuses: RolloutStatus['state'][],
  versions: readonly string[] = ['v1', 'v2'],
): RolloutDuty {
  const directory = new RunnerDirectory({ clock });
  for (const version of versions) directory.put(entryOf(version));
  return new RolloutDuty({
    rollouts,
    directory,
    loadTracker: { workAt: () => ({ requests: 0, prefillTokens: 0, kvTokens: 0 }) },
    disciplinedClock: { now: () => clock.wall() },
    era: () => 0,
    report: ({ state }) => {
      statuses.push(state);
      return Promise.resolve();
    },
  });
}

/** Nodes of which the first one holds the duties. */
async function createDeployment(): Promise<Deployment> {
  const clock = new ManualClock(1_000_000);
  const nodes = Array.from({ length: NODES }, (_item, index) => createNode(clock, index + 1));
  const [holder] = nodes;
  if (!holder) throw new Error('no node');
  const statuses: RolloutStatus['state'][] = [];
  const duty = createDuty(holder, clock, statuses);
  const termStore = createTermStore({ log: new MemoryKeyedLog(), node: 'n1' });
  await termStore.takeOver();
  duty.begin();
  return { clock, nodes, holder, statuses, duty, termStore };
}

/** Plays a roll-out over several nodes, with `perS` requests a second. */
async function play(
  perS: number,
  answerOf: (version: string, ms: number, random: SeededRandom) => Answer,
  { clock, nodes, holder, statuses, duty, termStore }: Deployment,
  order: RolloutOrder = ORDER,
): Promise<RolloutResult> {
  const random = new SeededRandom(5);
  for (const node of nodes) node.applyOrder(order);
  let total = 0;
  let target = 0;
  let lastTargetMs = 0;
  for (let ms = 0; ms < order.durationMs; ms += TICK_MS) {
    await duty.perform(termStore);
    for (const node of nodes) node.applyState(termStore.records.get(Rollouts.keyOf(SERVICE)));
    for (let request = 0; request < (perS * TICK_MS) / 1_000; request += 1) {
      const node = nodes[request % NODES] ?? holder;
      const version = node.drawTarget(SERVICE) ? order.targetVersion : 'v1';
      total += 1;
      if (version !== 'v1') {
        target += 1;
        lastTargetMs = ms;
      }
      const route = ROUTES[request % ROUTES.length] ?? 'ask';
      const answer = answerOf(version, ms, random);
      node.recordOutcome(entryOf(version), { route, load: 0.2, ...answer });
    }
    nodes.forEach((node, index) => {
      if (index > 0) holder.setPeerEvidence(`n${index}`, node.evidence);
    });
    clock.advance(TICK_MS);
  }
  return { total, target, statuses, lastTargetMs };
}

function soundAnswer(random: SeededRandom): Answer {
  return { kind: 'success', latencyRatio: 0.8 + random.next() * 0.6 };
}

const BAD_VERSIONS: Readonly<Record<string, (ms: number, random: SeededRandom) => Answer>> = {
  'answers several times slower': (_ms, random) => ({
    kind: 'success',
    latencyRatio: 3 + random.next() * 3,
  }),
  'fails half of the requests': (_ms, random) =>
    random.next() < 0.5 ? { kind: 'failure' } : soundAnswer(random),
  'turns slow after a while': (ms, random) =>
    ms < 5_000 ? soundAnswer(random) : { kind: 'success', latencyRatio: 4 },
};

for (const [name, badAnswer] of Object.entries(BAD_VERSIONS)) {
  // Guards against completing the roll-out of a bad version, or exposing it beyond its bound (EXPOSURE).
  test(`pattern: roll-out of a version that ${name}; it is rolled back within its bounds`, async (t) => {
    for (const perS of [30, 120]) {
      const result = await play(
        perS,
        (version, ms, random) => (version === 'v2' ? badAnswer(ms, random) : soundAnswer(random)),
        await createDeployment(),
      );
      t.deepEqual(result.statuses, ['running', 'rolled-back'], `${perS} a second`);
      t.true(
        result.target <= result.total * CANARY_SHARE + CANARY_SLACK,
        `${result.target} of ${result.total}`,
      );
    }
  });
}

test('pattern: roll-out of a good version; it is completed before its time limit', async (t) => {
  for (const perS of [30, 120]) {
    const result = await play(
      perS,
      (_version, _ms, random) => soundAnswer(random),
      await createDeployment(),
    );
    t.deepEqual(result.statuses, ['running', 'completed'], `${perS} a second`);
  }
});

// Guards against judging a version by the one that was rolled back before it.
test('pattern: a good version after a bad one; it is completed', async (t) => {
  const deployment = await createDeployment();
  await play(
    60,
    (version, _ms, random) => (version === 'v2' ? { kind: 'failure' } : soundAnswer(random)),
    deployment,
  );
  const order = { ...ORDER, targetVersion: 'v3' };
  await play(60, (_version, _ms, random) => soundAnswer(random), deployment, order);
  t.deepEqual(deployment.statuses, ['running', 'rolled-back', 'running', 'completed']);
});

// Guards against the requests that an unknown version got because nobody followed the order.
test('the target gets no request before the duty holder has recorded the roll-out', (t) => {
  const clock = new ManualClock(1_000_000);
  const node = createNode(clock, 1);
  node.applyOrder(ORDER);
  t.false(node.drawTarget(SERVICE));
  t.true(node.accepts(entryOf('v1'), false));
  t.false(node.accepts(entryOf('v2'), false));
  t.true(node.accepts({ ...entryOf('v2'), service: 'other' }, false));
});

test('the target gets no request from a node that no longer hears of the roll-out', (t) => {
  const clock = new ManualClock(1_000_000);
  const node = createNode(clock, 1);
  node.applyOrder(ORDER);
  const state = {
    ...ORDER,
    fromVersion: 'v1',
    startedAt: 1,
    share: 1,
    phase: 'moving',
    reason: '',
    rejected: [],
    phaseSince: 1,
    sequence: 1,
  };
  node.applyState(state);
  t.true(node.drawTarget(SERVICE));
  clock.advance(4_000);
  t.false(node.drawTarget(SERVICE));
  node.applyState({ ...state, sequence: 2 });
  t.true(node.drawTarget(SERVICE));
});

test('a version that was rolled back stays without requests when its order is read again', (t) => {
  const clock = new ManualClock(1_000_000);
  const node = createNode(clock, 1);
  node.applyOrder(ORDER);
  const state = {
    ...ORDER,
    fromVersion: 'v1',
    startedAt: 1,
    share: 0,
    reason: '',
    rejected: [],
    sequence: 4,
  };
  node.applyState({ ...state, phase: 'rolled-back' });
  node.applyState({ ...state, phase: 'moving', share: 1, sequence: 3 });
  node.applyOrder(ORDER);
  t.false(node.drawTarget(SERVICE));
  t.false(node.accepts(entryOf('v2'), false));
});

// Guards against giving requests to a version that was taken back, while its runners still drain.
test('a version that was rolled back gets nothing during the next roll-out', (t) => {
  const clock = new ManualClock(1_000_000);
  const node = createNode(clock, 1);
  node.applyOrder(ORDER);
  node.applyOrder({ ...ORDER, targetVersion: 'v3' });
  t.true(node.accepts(entryOf('v1'), false));
  t.false(node.accepts(entryOf('v2'), false));
  t.false(node.accepts(entryOf('v2'), true));
  node.applyOrder(ORDER);
  t.true(node.accepts(entryOf('v2'), true));
  t.false(node.accepts(entryOf('v3'), false));
});

test('a roll-out to the only version there is is completed at once', async (t) => {
  const clock = new ManualClock(1_000_000);
  const node = createNode(clock, 1);
  const statuses: RolloutStatus['state'][] = [];
  const duty = createDuty(node, clock, statuses, ['v2']);
  const termStore = createTermStore({ log: new MemoryKeyedLog(), node: 'n1' });
  await termStore.takeOver();
  node.applyOrder(ORDER);
  await duty.perform(termStore);
  t.deepEqual(statuses, ['completed']);
  t.true(node.accepts(entryOf('v2'), false));
  t.false(node.isFollowing);
});

test('a version that was not proved good in time is rolled back', (t) => {
  const verdict = { state: 'unproved', tries: 100, reason: 'in doubt' } as const;
  t.is(planRollout({ elapsed: 0.9, verdict }).decision, 'roll-back');
  t.is(planRollout({ elapsed: 0.9, verdict: { ...verdict, state: 'good' } }).decision, 'complete');
  t.is(planRollout({ elapsed: 0.1, verdict: { ...verdict, state: 'bad' } }).decision, 'roll-back');
  t.is(planRollout({ elapsed: 0.5, verdict: { ...verdict, state: 'good' } }).decision, undefined);
});

// Guards against starting a roll-out again that a restored log shows as open (CONFIG).
test('pattern: store restored; an order that was replaced and a state from before are not taken', async (t) => {
  const { clock, holder, duty, termStore, statuses } = await createDeployment();
  const later: RolloutOrder = { ...ORDER, targetVersion: 'v3' };
  holder.applyOrder(ORDER);
  holder.applyOrder(later);
  holder.applyOrder(ORDER, true);
  t.deepEqual(holder.orders, [later]);
  await duty.perform(termStore);
  const early = termStore.records.get(Rollouts.keyOf(ORDER.service));
  const state = holder.stateOf(ORDER.service);
  if (!state) throw new Error('the roll-out has no state');
  holder.applyState({ ...state, phase: 'rolled-back', sequence: state.sequence + 1 });
  await termStore.record(Rollouts.keyOf(ORDER.service), early);
  clock.advance(500);
  await duty.perform(termStore);
  t.is(holder.stateOf(ORDER.service)?.phase, 'rolled-back');
  t.is(statuses.at(-1), 'rolled-back');
});

// Guards against a successor that starts anew and moves requests to a version that was rolled back (EXPOSURE).
test('pattern: store restored; a holder records the end of a roll-out that only it has followed', async (t) => {
  const { holder, duty, termStore } = await createDeployment();
  holder.applyOrder(ORDER);
  await duty.perform(termStore);
  const state = holder.stateOf(ORDER.service);
  if (!state) throw new Error('the roll-out has no state');
  holder.applyState({ ...state, phase: 'rolled-back', sequence: state.sequence + 1 });
  await duty.perform(termStore);
  const { data: recorded } = RolloutState.safeParse(
    termStore.records.get(Rollouts.keyOf(ORDER.service)),
  );
  t.is(recorded?.phase, 'rolled-back');
});
