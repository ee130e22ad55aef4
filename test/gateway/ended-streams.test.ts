import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import { CutFleet } from './cut-fleet.ts';
import { limitConcurrency } from './limit-concurrency.ts';
import { ROUTE_KINDS } from './route-kinds.ts';
import { chunk, event, streamHeadFor } from './scripted-response.ts';
import { ScriptedRunner } from './scripted-runner.ts';
import type { ReceivedRequest } from './scripted-runner.ts';

type Script = (socket: Socket, request: ReceivedRequest, attempt: number) => void;

const EVENTS = event(1) + event(2);
const STREAMS = 2;
const SILENCE_MS = 1_300;
const TIMEOUT_MS = 8_000;
/** Time in which nodes hear each other, and the retry budget grows to one for each stream, in milliseconds. */
const START_MS = 3_000;
/** Includes the time for which a test waits for others of this file, in milliseconds. */
const TEST_TIMEOUT_MS = 115_000;
const takeTurn = limitConcurrency(3);

/** How a runner answers a request for what follows the last event. */
const ENDINGS: Readonly<Record<string, Script>> = {
  'at once': (socket, request) => {
    socket.write(streamHeadFor(request) + chunk(''));
  },
  'with its head before its end': (socket, request) => {
    socket.write(streamHeadFor(request));
    setTimeout(() => socket.write(chunk('')), 100);
  },
  'after a comment': (socket, request) => {
    socket.write(streamHeadFor(request) + chunk(': nothing left\n\n') + chunk(''));
  },
  'after a comment and a silence': (socket, request) => {
    socket.write(streamHeadFor(request) + chunk(': nothing left\n\n'));
    setTimeout(() => socket.write(chunk('')), SILENCE_MS);
  },
  'after a silence': (socket, request) => {
    setTimeout(() => socket.write(streamHeadFor(request) + chunk('')), SILENCE_MS);
  },
  'after a silence behind its head': (socket, request) => {
    socket.write(streamHeadFor(request));
    setTimeout(() => socket.write(chunk('')), SILENCE_MS);
  },
  'at the second attempt': (socket, request, attempt) => {
    socket.write(streamHeadFor(request) + (attempt === 0 ? '' : chunk('')));
  },
};

for (const mode of ['cut', 'dark'] as const) {
  for (const [name, end] of Object.entries(ENDINGS)) {
    // Guards against streams that have all their events, and whose lost end no peer brings (LOST).
    test(`a stream that loses its links (${mode}) after its last event is ended by a peer whose runner ends it ${name}`, async (t) => {
      t.timeout(TEST_TIMEOUT_MS);
      await takeTurn(t);
      const begun = new Set<string>();
      const attempts = new Map<string, number>();
      const create = (): ScriptedRunner =>
        new ScriptedRunner((socket, request) => {
          if (!request.head.includes('Last-Event-Id: 2')) {
            begun.add(request.id);
            socket.write(streamHeadFor(request) + chunk(EVENTS));
            return;
          }
          const attempt = attempts.get(request.id) ?? 0;
          attempts.set(request.id, attempt + 1);
          end(socket, request, attempt);
        });
      const runners = await Promise.all([0, 1, 2].map(() => create().listen()));
      t.teardown(() => Promise.all(runners.map((runner) => runner.close())));
      const fleet = await CutFleet.start(t, {
        runners,
        gateways: 2,
        route: { ...ROUTE_KINDS.stream, timeout_ms: TIMEOUT_MS, max_attempts: 3 },
      });
      const [node] = fleet.gateways;
      if (!node) throw new TypeError('no gateway was started');
      await sleep(START_MS);
      const headers = { 'Deadline-Ms': String(TIMEOUT_MS) };
      const calls = Array.from({ length: STREAMS }, () => node.call({ headers }));
      await node.waitUntil(() => begun.size === STREAMS);
      await sleep(100);
      await fleet.setLinks([0], mode);
      const replies = await Promise.all(calls);
      const lines = fleet.gateways.flatMap((gateway) => gateway.lines).join('');
      for (const { body, isComplete } of replies) {
        t.is(body.replaceAll(': nothing left\n\n', ''), EVENTS);
        t.true(isComplete, lines);
      }
    });
  }
}
