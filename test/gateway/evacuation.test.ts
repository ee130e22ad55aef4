import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import { EvacuationFleet } from './evacuation-fleet.ts';
import { chunk, event, responseTo, streamHeadFor } from './scripted-response.ts';
import type { ScriptedRunner } from './scripted-runner.ts';
import { sendFor } from './send-for.ts';

type Script = ConstructorParameters<typeof ScriptedRunner>[0];

const OK = 200;
const UNAVAILABLE = 503;
/** Time from the store's acknowledgement after which no request may reach an evacuated domain. */
const EVACUATION_MS = 5_000;
/** Time within which an order takes effect where nothing fails. */
const APPLY_MS = 2_000;
/** Time for which a restored log may lack the record. */
const REWRITE_MS = 5_000;
/** Time of a read and the pauses around it, on a busy machine. */
const READ_MS = 3_000;
const SLOW_MS = 3_000;

const answer: Script = (socket, request) => {
  socket.write(responseTo(request, 'ok'));
};
const cut: Script = (socket) => {
  socket.destroy();
};
/** Sends an event, and the rest of the stream after a while. */
const slowStream: Script = (socket, request) => {
  socket.write(streamHeadFor(request) + chunk(event(1)));
  setTimeout(() => socket.write(`${chunk(event(2))}0\r\n\r\n`), SLOW_MS);
};
/** Sends an event and breaks the stream off. */
const brokenStream: Script = (socket, request) => {
  socket.end(streamHeadFor(request) + chunk(event(1)));
};

// Guards against requests to an evacuated domain, and against refusals while other domains have runners (EVACUATION).
test('pattern: evacuation under load; traffic goes on in the other domains and comes back afterwards', async (t) => {
  const pair = [answer, answer];
  const fleet = await EvacuationFleet.start(t, { runners: { a: pair, b: pair, c: pair } });
  const load = sendFor(fleet.gateways, 3 * APPLY_MS);
  await sleep(APPLY_MS / 2);
  t.true(fleet.receivedIn('a') > 0);
  fleet.evacuate('a');
  await fleet.waitForEvent('evacuation-begun');
  // What was sent before may still arrive.
  await sleep(100);
  const received = fleet.receivedIn('a');
  const others = fleet.receivedIn('b') + fleet.receivedIn('c');
  await sleep(APPLY_MS);
  t.is(fleet.receivedIn('a'), received);
  t.true(fleet.receivedIn('b') + fleet.receivedIn('c') > others + 40);
  fleet.withdraw('a');
  await fleet.waitForEvent('evacuation-ended');
  const replies = await load;
  t.true(replies.every(({ status }) => status === OK));
  t.true(fleet.receivedIn('a') > received, 'traffic is back');
});

// Guards against an order that takes effect on the readers of a domain alone or too late (EVACUATION).
test('an order is in force on all nodes within the time of a configuration, and on one that starts later', async (t) => {
  const fleet = await EvacuationFleet.start(t, { runners: { a: [answer], b: [answer] } });
  const orderedAt = performance.now();
  fleet.evacuate('a');
  await fleet.waitForEvent('evacuation-begun');
  const tookMs = performance.now() - orderedAt;
  t.log(`in force on all nodes after ${Math.round(tookMs)} ms`);
  t.true(tookMs < APPLY_MS, `${tookMs}`);
  const joined = await fleet.startGateway('n4');
  const received = fleet.receivedIn('a');
  for (let index = 0; index < 20; index += 1) {
    t.is((await joined.call({ headers: { 'Request-Id': `j${index}` } })).status, OK);
  }
  t.deepEqual(new Set(await fleet.callInTurn(20)), new Set([OK]));
  t.is(fleet.receivedIn('a'), received);
});

// Guards against an evacuation that nodes without access to the store never hear of (EVACUATION).
test('an order reaches nodes that are cut off from the store by the feed of a peer', async (t) => {
  const fleet = await EvacuationFleet.start(t, { runners: { a: [answer], b: [answer] } });
  // A runner that has served requests gets some again later, also beside a fast one.
  await fleet.callInTurn(30);
  await sleep(APPLY_MS);
  fleet.cutOff('n2');
  fleet.cutOff('n3');
  await sleep(APPLY_MS);
  const orderedAt = performance.now();
  fleet.evacuate('a');
  await fleet.waitForEvent('evacuation-begun');
  t.true(performance.now() - orderedAt < EVACUATION_MS);
  const received = fleet.receivedIn('a');
  t.deepEqual(new Set(await fleet.callInTurn(30)), new Set([OK]));
  t.is(fleet.receivedIn('a'), received);
  fleet.withdraw('a');
  await fleet.waitForEvent('evacuation-ended');
  await fleet.callAtOnce(60);
  t.true(fleet.receivedIn('a') > received);
});

// Guards against work that is lost because its domain is evacuated (EVACUATION, LOST).
test('a stream in progress in an evacuated domain goes on to its end', async (t) => {
  const fleet = await EvacuationFleet.start(t, {
    runners: { a: [slowStream] },
    route: { kind: 'streaming', gap_target_ms: 2 * SLOW_MS },
    nodes: 1,
  });
  const [gateway] = fleet.gateways;
  const reply = gateway?.call({ headers: { 'Deadline-Ms': '8000' } });
  await gateway?.waitUntil(() => fleet.receivedIn('a') === 1);
  fleet.evacuate('a');
  await fleet.waitForEvent('evacuation-begun');
  const refused = await gateway?.call();
  t.is(refused?.status, UNAVAILABLE);
  const { status, body, isComplete } = (await reply) ?? {};
  t.deepEqual(
    { status, body, isComplete },
    { status: OK, body: event(1) + event(2), isComplete: true },
  );
  t.is(fleet.receivedIn('a'), 1);
});

// Guards against a retry or a resumed stream that goes where no new request may go (EVACUATION).
test('retries and resumed streams stay out of an evacuated domain', async (t) => {
  const fleet = await EvacuationFleet.start(t, {
    runners: { a: [answer, answer], b: [cut, brokenStream] },
    route: { kind: 'streaming', stream_resume: true },
  });
  fleet.evacuate('a');
  await fleet.waitForEvent('evacuation-begun');
  const received = fleet.receivedIn('a');
  await Promise.all([fleet.callInTurn(9), fleet.callInTurn(9)]);
  t.true(fleet.receivedIn('b') > 18, 'requests were tried again');
  t.is(fleet.receivedIn('a'), received);
});

test('a request is rejected at once when only an evacuated domain is left', async (t) => {
  const fleet = await EvacuationFleet.start(t, { runners: { a: [answer, answer] } });
  fleet.evacuate('a');
  await fleet.waitForEvent('evacuation-begun');
  for (const gateway of fleet.gateways) {
    const startedAt = performance.now();
    const { status, headers } = await gateway.call();
    t.is(status, UNAVAILABLE);
    t.true(Number(headers['retry-after']) > 0);
    t.true(performance.now() - startedAt < 500);
    const [line] = EvacuationFleet.linesOf(gateway, 'request-refused').slice(-1);
    t.like(line, { cause: 'no-runner', runnersEvacuated: 2 });
  }
  t.is(fleet.receivedIn('a'), 0);
});

// Guards against records that end a follower or evacuate what nobody named (EVACUATION).
test('records without effect are logged once, and an unknown domain is kept', async (t) => {
  const fleet = await EvacuationFleet.start(t, { runners: { a: [answer] }, nodes: 1 });
  const [gateway] = fleet.gateways;
  if (!gateway) return;
  for (let round = 0; round < 3; round += 1) {
    fleet.evacuate('');
    fleet.evacuate('z'.repeat(257));
    fleet.evacuate('a', '[]');
  }
  fleet.evacuate('elsewhere');
  await fleet.waitForEvent('evacuation-begun');
  const begun = EvacuationFleet.linesOf(gateway, 'evacuation-begun');
  t.is(begun.length, 1);
  t.like(begun[0], { failureDomain: 'elsewhere', runners: 0, hasRunners: false });
  t.is(EvacuationFleet.linesOf(gateway, 'record-rejected').length, 3);
  t.is((await gateway.call()).status, OK);
  // An unreadable record does not end an evacuation either.
  fleet.evacuate('a');
  await fleet.waitForEvent('evacuation-begun', 2);
  fleet.evacuate('a', 'null');
  await sleep(READ_MS);
  t.is((await gateway.call()).status, UNAVAILABLE);
});

// Guards against an evacuation that ends or never begins because the store fails around the order (EVACUATION).
test('pattern: store down; the last known state stays, and orders given meanwhile apply once it is back', async (t) => {
  const fleet = await EvacuationFleet.start(t, { runners: { a: [answer], b: [answer] } });
  await fleet.callInTurn(30);
  fleet.store.setFault('busy');
  await sleep(APPLY_MS);
  fleet.evacuate('a');
  t.deepEqual(new Set(await fleet.callInTurn(12)), new Set([OK]));
  const backAt = performance.now();
  fleet.store.setFault('none');
  await fleet.waitForEvent('evacuation-begun');
  t.true(performance.now() - backAt < READ_MS);
  const received = fleet.receivedIn('a');
  fleet.store.setFault('silent');
  // Reads that wait for a record are answered still.
  await sleep(APPLY_MS);
  fleet.withdraw('a');
  await sleep(2 * APPLY_MS);
  t.deepEqual(new Set(await fleet.callInTurn(12)), new Set([OK]));
  t.is(fleet.receivedIn('a'), received, 'in force while the store is down');
  fleet.store.setFault('none');
  await fleet.waitForEvent('evacuation-ended');
  await fleet.callAtOnce(60);
  t.true(fleet.receivedIn('a') > received);
});

// Guards against an evacuation that ends with the restore of a copy from before the order (EVACUATION).
test('pattern: store restored; the evacuation stays in force and goes on when the record is written again', async (t) => {
  const fleet = await EvacuationFleet.start(t, { runners: { a: [answer], b: [answer] } });
  const copy = fleet.store.copy();
  fleet.evacuate('a');
  await fleet.waitForEvent('evacuation-begun');
  const received = fleet.receivedIn('a');
  fleet.store.restore(copy);
  await fleet.waitForEvent('evacuation-unconfirmed');
  t.deepEqual(new Set(await fleet.callInTurn(12)), new Set([OK]));
  fleet.evacuate('a');
  await sleep(REWRITE_MS + READ_MS);
  t.deepEqual(new Set(await fleet.callInTurn(12)), new Set([OK]));
  t.is(fleet.receivedIn('a'), received);
  for (const gateway of fleet.gateways) {
    t.is(EvacuationFleet.linesOf(gateway, 'evacuation-ended').length, 0);
    t.is(EvacuationFleet.linesOf(gateway, 'evacuation-begun').length, 1);
  }
});

// Guards against a domain that stays evacuated for ever without a record (EVACUATION).
test('pattern: store restored; the evacuation ends on all nodes when the record is not written again', async (t) => {
  const fleet = await EvacuationFleet.start(t, { runners: { a: [answer], b: [answer] } });
  await fleet.callInTurn(30);
  const copy = fleet.store.copy();
  fleet.evacuate('a');
  await fleet.waitForEvent('evacuation-begun');
  const restoredAt = performance.now();
  fleet.store.restore(copy);
  await fleet.waitForEvent('evacuation-ended');
  const tookMs = performance.now() - restoredAt;
  t.true(tookMs >= REWRITE_MS, `${tookMs}`);
  t.true(tookMs < REWRITE_MS + 2 * READ_MS, `${tookMs}`);
  const received = fleet.receivedIn('a');
  await fleet.callAtOnce(60);
  t.true(fleet.receivedIn('a') > received);
});
