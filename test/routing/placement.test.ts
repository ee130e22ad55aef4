import test from 'ava';
import { SeededRandom } from '@ragwortrudder/core';
import {
  placeApplicationRequest,
  placeModelRequest,
  SessionAffinity,
} from '@ragwortrudder/routing';
import type { PlacementCandidate, PlacementRequest } from '@ragwortrudder/routing';

function candidate(id: string, overrides: Partial<PlacementCandidate> = {}): PlacementCandidate {
  return {
    id,
    failureDomain: 'a',
    slots: 32,
    inFlight: 0,
    prefillTokens: 0,
    kvTokens: 0,
    kvCapacityTokens: 400_000,
    slowness: 1,
    ...overrides,
  };
}

function request(overrides: Partial<PlacementRequest> = {}): PlacementRequest {
  return {
    ownTokens: 1_000,
    sharedTokens: 5_000,
    outputTokens: 100,
    session: 's1',
    failureDomain: 'a',
    prefillMsPerToken: 0.01,
    ...overrides,
  };
}

test('requests of a session go to one runner while it is not loaded', (t) => {
  const runners = ['r1', 'r2', 'r3', 'r4'].map((id) => candidate(id));
  const random = new SeededRandom(1);
  const chosen = Array.from(
    { length: 20 },
    () => placeModelRequest(request(), runners, random)?.id,
  );
  t.is(new Set(chosen).size, 1);
});

test('pattern: hot key; the session leaves its home runner once the prompts ahead cost more than recomputing its prefix', (t) => {
  const random = new SeededRandom(2);
  const idle = ['r1', 'r2', 'r3'].map((id) => candidate(id));
  const home = placeModelRequest(request(), idle, random)?.id;
  const loaded = idle.map((item) =>
    item.id === home ? { ...item, prefillTokens: 20_000, inFlight: 3 } : item,
  );
  t.not(placeModelRequest(request(), loaded, random)?.id, home);
});

test('pattern: many nodes with the same view; near-ties are spread over the runners', (t) => {
  const runners = Array.from({ length: 8 }, (_item, index) => candidate(`r${index}`));
  const counts = new Map<string, number>();
  for (let node = 0; node < 80; node += 1) {
    const id =
      placeModelRequest(request({ session: '' }), runners, new SeededRandom(node))?.id ?? '';
    counts.set(id, (counts.get(id) ?? 0) + 1);
  }
  t.true(Math.max(...counts.values()) <= 25);
});

test('pattern: long prompts; a runner with a long prompt ahead is avoided although it has fewer requests', (t) => {
  const runners = [
    candidate('long', { inFlight: 1, prefillTokens: 50_000 }),
    candidate('short', { inFlight: 6, prefillTokens: 1_000 }),
  ];
  t.is(placeModelRequest(request({ session: '' }), runners, new SeededRandom(3))?.id, 'short');
});

test('a prompt that does not fit into the KV cache goes elsewhere', (t) => {
  const runners = [
    candidate('full', { kvTokens: 399_000 }),
    candidate('room', { inFlight: 20, kvTokens: 100_000 }),
  ];
  t.is(placeModelRequest(request({ session: '' }), runners, new SeededRandom(4))?.id, 'room');
});

test('pattern: one slow runner; it receives fewer requests', (t) => {
  const runners = [candidate('slow', { slowness: 4 }), candidate('sound', { inFlight: 1 })];
  t.is(placeModelRequest(request({ session: '' }), runners, new SeededRandom(5))?.id, 'sound');
  t.is(
    placeApplicationRequest(
      'a',
      [candidate('slow', { slowness: 4 }), candidate('sound')],
      new SeededRandom(5),
    ),
    'sound',
  );
});

test('calls go to the runner with free slots', (t) => {
  const runners = [
    candidate('busy', { slots: 6, inFlight: 7 }),
    candidate('free', { slots: 6, inFlight: 3 }),
  ];
  t.is(placeApplicationRequest('a', runners, new SeededRandom(6)), 'free');
  t.is(placeApplicationRequest('a', [], new SeededRandom(6)), undefined);
});

test('pattern: hot key; a session that left its home runner stays on its new runner', (t) => {
  const random = new SeededRandom(7);
  const runners = ['r1', 'r2', 'r3', 'r4'].map((id) => candidate(id));
  const home = placeModelRequest(request(), runners, random)?.id;
  const lastRunner = runners.find(({ id }) => id !== home)?.id ?? '';
  const loaded = runners.map((item) =>
    item.id === home ? { ...item, prefillTokens: 8_000, inFlight: 2 } : item,
  );
  for (let attempt = 0; attempt < 10; attempt += 1) {
    t.is(placeModelRequest(request({ lastRunner }), loaded, random)?.id, lastRunner);
  }
});

test('the runner of a session is forgotten after the time for which its prefix stays cached', (t) => {
  const places = new SessionAffinity();
  places.record('s1', 'r1', 0);
  places.record('', 'r1', 0);
  t.is(places.find('s1', 10_000), 'r1');
  t.is(places.find('s1', 60_000), undefined);
  t.is(places.find('', 0), undefined);
});

test('only a bounded number of sessions is stored, the most recent ones', (t) => {
  const places = new SessionAffinity();
  for (let session = 0; session < 10_000; session += 1) places.record(`s${session}`, 'r1', 0);
  t.is(places.find('s0', 0), undefined);
  t.is(places.find('s9999', 0), 'r1');
});

// Guards against speeds that are estimated from times which already include the estimate.
test('a placement states the slowness that its expected time includes', (t) => {
  const place = (slowness: number): ReturnType<typeof placeModelRequest> =>
    placeModelRequest(request(), [candidate('r1', { slowness })], new SeededRandom(1));
  const usual = place(1);
  const slow = place(1.7);
  t.is(slow?.slowness, 1.7);
  t.is((slow?.firstTokenMs ?? 0) / 1.7, usual?.firstTokenMs ?? NaN);
});
