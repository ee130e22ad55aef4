import test from 'ava';
import fc from 'fast-check';
import { SeededRandom } from '@ragwortrudder/core';
import {
  CacheDirectory,
  CacheIndex,
  SessionPrefixDetector,
  chooseRunner,
  prefixBlocks,
} from '@ragwortrudder/routing';
import { estimateFirstToken, createRoutingPolicy } from '@ragwortrudder/routing';
import type { PolicyName, RoutingRequest, RunnerView } from '@ragwortrudder/routing';
import { runnerView } from './runner-view.ts';

const POLICIES: readonly PolicyName[] = [
  'estimate',
  'round-robin',
  'least-loaded',
  'prefix-hash',
  'two-choices',
];

function words(count: number, seed: string): string {
  return Array.from({ length: count }, (_, i) => `${seed}${i}`).join(' ');
}

function createRequest(prompt: string): RoutingRequest {
  const promptTokens = prompt.split(' ').length;
  return { id: 'r', service: 'quotes', blocks: prefixBlocks(prompt), promptTokens };
}

function anyRunner(id: number): fc.Arbitrary<RunnerView> {
  return fc
    .record({
      state: fc.constantFrom('starting', 'ready', 'ready', 'leaving', 'gone'),
      service: fc.constantFrom('quotes', 'quotes', 'orders'),
      version: fc.constantFrom('v1', 'v2'),
      setAside: fc.boolean(),
      leaving: fc.boolean(),
      running: fc.nat(30),
      waiting: fc.nat(30),
      loadAgeMs: fc.constantFrom(0, 100, 5000, Infinity),
    })
    .map(({ running, waiting, ...fields }) =>
      runnerView(String(id), { ...fields, load: { running, waiting, leaving: false } }),
    );
}

const FLEET = fc
  .integer({ min: 0, max: 8 })
  .chain((size) => fc.tuple(...Array.from({ length: size }, (_, i) => anyRunner(i))));

for (const name of POLICIES) {
  test(`${name} chooses an eligible runner whenever there is one, and never any other`, (t) => {
    fc.assert(
      fc.property(FLEET, fc.boolean(), fc.integer(), (candidates, isVersioned, seed) => {
        const base = createRequest(words(40, 'w'));
        const request = isVersioned ? { ...base, version: 'v2' } : base;
        const avoid = new Set(['0']);
        const random = new SeededRandom(seed);
        const choice = createRoutingPolicy(name).choose({ candidates, request, random, avoid });
        const eligible = candidates.filter(
          (r) =>
            r.state === 'ready' &&
            !r.leaving &&
            !r.setAside &&
            r.service === 'quotes' &&
            (!isVersioned || r.version === 'v2') &&
            r.id !== '0',
        );
        if (eligible.length === 0) return choice === undefined;
        return choice !== undefined && eligible.includes(choice.runner);
      }),
      { seed: 3, numRuns: 200 },
    );
    t.pass();
  });
}

test('the estimate is the sum of queued work, uncached prompt tokens and network time', (t) => {
  const runner = runnerView('1', {
    load: { running: 2, waiting: 0, leaving: false },
    unreported: { requests: 1, prefillTokens: 1000 },
    inFlight: { requests: 1, prefillTokens: 1000 },
  });
  const estimate = estimateFirstToken(runner, createRequest(words(200, 'w')), 100);
  t.is(estimate.queueMs, 120);
  t.is(estimate.prefillMs, 10);
  t.is(estimate.totalMs, 131);
  t.is(estimate.computedTokens, 100);
});

test('prompts from this node count as queued until their first token, even when a report includes them', (t) => {
  const runner = runnerView('1', {
    load: { running: 2, waiting: 0, leaving: false },
    unreported: { requests: 0, prefillTokens: 0 },
    inFlight: { requests: 2, prefillTokens: 1000 },
  });
  t.is(estimateFirstToken(runner, createRequest(words(200, 'w')), 200).queueMs, 120);
});

test('a waiting request from another node counts in addition to own requests', (t) => {
  const runner = runnerView('1', {
    load: { running: 2, waiting: 1, leaving: false },
    prefillRate: 8000,
    inFlight: { requests: 2, prefillTokens: 1000 },
  });
  t.is(estimateFirstToken(runner, createRequest(words(200, 'w')), 200).queueMs, 177);
});

test('a known prefix is used until its runner is so busy that computing elsewhere is cheaper', (t) => {
  const request = createRequest(words(1600, 'w'));
  const cache = new CacheDirectory();
  const index = new CacheIndex();
  index.recordSent(request.blocks, 0);
  cache.set('1', index);
  const choose = (prefillTokens: number) => {
    const work = { requests: 1, prefillTokens };
    const busy = runnerView('1', { unreported: work, inFlight: work });
    const candidates = [busy, ...['2', '3', '4'].map((id) => runnerView(id))];
    const random = new SeededRandom(4);
    return chooseRunner({ candidates, request, random, cache }, { ownerPrior: 0 })?.runner.id;
  };
  t.is(choose(500), '1');
  t.not(choose(20_000), '1');
});

test('the local failure domain is preferred only by its lower network cost', (t) => {
  const request = createRequest(words(4, 'w'));
  const local = runnerView('1', { networkMs: 1 });
  const remote = runnerView('2', { networkMs: 4, failureDomain: 'b' });
  const random = new SeededRandom(6);
  const work = { requests: 4, prefillTokens: 1000 };
  const busy = { ...local, unreported: work, inFlight: work };
  for (let i = 0; i < 50; i += 1) {
    t.is(chooseRunner({ candidates: [remote, local], request, random })?.runner.id, '1');
    t.is(chooseRunner({ candidates: [remote, busy], request, random })?.runner.id, '2');
  }
});

test('the number of compared runners stays small regardless of the fleet size', (t) => {
  const request = createRequest(words(1000, 'w'));
  for (const size of [10, 100, 1000]) {
    const candidates = Array.from({ length: size }, (_, i) => runnerView(String(i)));
    const choice = chooseRunner({ candidates, request, random: new SeededRandom(size) });
    t.true((choice?.compared ?? 99) <= 8);
  }
});

test('prompts with a common prefix go to one runner before any cache contents are known', (t) => {
  const candidates = Array.from({ length: 8 }, (_, i) => runnerView(String(i)));
  const prompts = Array.from(
    { length: 20 },
    (_, i) => `${words(640, 'shared')} ${words(32, `own${i}x`)}`,
  );
  const chosen = prompts.map(
    (prompt, seed) =>
      chooseRunner({ candidates, request: createRequest(prompt), random: new SeededRandom(seed) })
        ?.runner.id,
  );
  t.is(new Set(chosen).size, 1);
});

test('after a shared prefix, each session stays on one runner across nodes, and sessions are spread', (t) => {
  const candidates = Array.from({ length: 6 }, (_, i) => runnerView(String(i)));
  const nodes = ['estimate', 'estimate'].map(() => createRoutingPolicy('estimate'));
  const random = new SeededRandom(12);
  const runnersBySession = new Map<number, Set<string>>();
  for (let turn = 1; turn <= 6; turn += 1) {
    for (let session = 0; session < 12; session += 1) {
      const prompt = `${words(512, 'shared')} ${words(96 * turn, `s${session}x`)}`;
      for (const node of nodes) {
        const choice = node.choose({ candidates, request: createRequest(prompt), random });
        const usedRunners = runnersBySession.get(session) ?? new Set<string>();
        if (turn > 1) usedRunners.add(choice?.runner.id ?? '');
        runnersBySession.set(session, usedRunners);
      }
    }
  }
  t.true([...runnersBySession.values()].every((usedRunners) => usedRunners.size === 1));
  t.true(
    new Set([...runnersBySession.values()].flatMap((usedRunners) => [...usedRunners])).size >= 4,
  );
});

test('learning a short shared prefix moves no session, and sessions are distinguished from the start', (t) => {
  const branches = new SessionPrefixDetector();
  const prompts = Array.from({ length: 6 }, (_, i) =>
    prefixBlocks(`${words(64, 'shared')} ${words(160, `s${i}x`)}`),
  );
  const first = prompts.map((blocks) => branches.sessionBlock(blocks));
  t.deepEqual(
    prompts.map((blocks) => branches.sessionBlock(blocks)),
    first,
  );
  t.is(new Set(first).size, prompts.length);
  t.is(branches.sessionBlock([]), undefined);
});
