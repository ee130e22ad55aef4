import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { CutFleet } from './cut-fleet.ts';
import { GatewayHarness } from './gateway-harness.ts';
import { limitConcurrency } from './limit-concurrency.ts';
import { ROUTE_KINDS } from './route-kinds.ts';
import { chunk, event, responseTo, SIGNATURE, streamHeadFor } from './scripted-response.ts';
import { sendFor } from './send-for.ts';
import { ScriptedRunner } from './scripted-runner.ts';
import type { ReceivedRequest } from './scripted-runner.ts';

type Socket = Parameters<ConstructorParameters<typeof ScriptedRunner>[0]>[0];

interface Fleet {
  readonly harness: GatewayHarness;
  /** Requests that runners have executed, by id. */
  readonly runs: readonly string[];
}

interface FleetOptions {
  readonly route: object;
  /** Bytes that the first runner to get the request writes before its response. */
  readonly written: (request: ReceivedRequest) => string;
}

const KINDS = {
  ...ROUTE_KINDS,
  'once-only stream': { kind: 'streaming', stream_resume: false, gap_target_ms: 300 },
} as const;
const ONCE_ONLY: ReadonlySet<string> = new Set(['once-only', 'once-only stream']);
/** Statuses with which a caller is told that its request has not run. */
const PROMISES: readonly number[] = [408, 421, 429, 503];
/** Includes the time for which a test waits for others of this file, in milliseconds. */
const TEST_TIMEOUT_MS = 115_000;
const EARLIER_ID = 'earlier';
const RESPONSE_MS = 40;
const PIECE_MS = 20;
/** Time in which the node's budget of retries grows by more than one, in milliseconds. */
const BUDGET_MS = 80;
/** Time within which nodes hear each other, in milliseconds. */
const HEARD_MS = 500;
/** Time within which a node knows that it has lost its links, in milliseconds. */
const DECISION_MS = 1_500;

const takeTurn = limitConcurrency(5);

/** A refusal, by default the one of the earlier request. */
function refusal(
  status = '503 Full',
  headers: readonly string[] = [`Request-Id: ${EARLIER_ID}`, 'Not-Executed: 1'],
): string {
  return [`HTTP/1.1 ${status}`, ...headers, 'Content-Length: 2', '', 'no'].join('\r\n');
}

function responseFor(request: ReceivedRequest, isStream: boolean): string {
  if (!isStream) return responseTo(request, 'whole');
  return `${streamHeadFor(request)}${chunk(event(1))}${chunk(event(2))}${chunk('')}`;
}

/** Two runners that have refused a request on connections which are kept. */
async function startFleet(t: ExecutionContext, { route, written }: FleetOptions): Promise<Fleet> {
  const runs: string[] = [];
  const isStream = 'kind' in route && route.kind === 'streaming';
  const script = (socket: Socket, request: ReceivedRequest): void => {
    if (request.id === EARLIER_ID) {
      socket.write(refusal());
      return;
    }
    runs.push(request.id);
    if (runs.length === 1) socket.write(written(request));
    setTimeout(() => socket.write(responseFor(request, isStream)), RESPONSE_MS);
  };
  const runners = await Promise.all([0, 1].map(() => new ScriptedRunner(script).listen()));
  const harness = await GatewayHarness.start(t, { runners, route });
  const { status } = await harness.call({ headers: { 'Request-Id': EARLIER_ID } });
  t.is(status, 503);
  await sleep(BUDGET_MS);
  return { harness, runs };
}

/** Responses of which the node cannot know that they say anything about the request. */
const FOREIGN: Readonly<Record<string, (request: ReceivedRequest) => string>> = {
  'with its id': () => refusal(),
  '429 with its id': () => refusal('429 Slow'),
  '421 with its id': () => refusal('421 Misdirected', [`Request-Id: ${EARLIER_ID}`]),
  'without an id': () => refusal('503 Full', ['Not-Executed: 1']),
  '429 without an id': () => refusal('429 Slow', ['Not-Executed: 1']),
  '421 without an id': () => refusal('421 Misdirected', []),
  '400 without an id': () => refusal('400 Bad', ['Not-Executed: 1']),
  '408 without an id': () => refusal('408 Late', []),
  '413 without an id': () => refusal('413 Long', ['Not-Executed: 1']),
  '500 without an id': () => refusal('500 Failed', []),
  'with an empty id': () => refusal('503 Full', ['Request-Id:', 'Not-Executed: 1']),
  'with two ids, the own one last': ({ id }) =>
    refusal('503 Full', [`Request-Id: ${EARLIER_ID}`, `Request-Id: ${id}`, 'Not-Executed: 1']),
  'with two ids, the own one first': ({ id }) =>
    refusal('503 Full', [`Request-Id: ${id}`, `Request-Id: ${EARLIER_ID}`, 'Not-Executed: 1']),
  'with joined ids': ({ id }) =>
    refusal('503 Full', [`Request-Id: ${EARLIER_ID}, ${id}`, 'Not-Executed: 1']),
  'with a header of passed requests and without an id': () =>
    refusal('503 Full', ['Passed-Request-Rejected: node-busy']),
  'as a trailer of a chunked body': ({ id }) =>
    `HTTP/1.1 500 Failed\r\nRequest-Id: ${id}\r\nTransfer-Encoding: chunked\r\nTrailer: Not-Executed\r\n\r\n2\r\nno\r\n0\r\nNot-Executed: 1\r\n\r\n`,
  'as an interim response': ({ id }) =>
    `HTTP/1.1 103 Early\r\nRequest-Id: ${id}\r\nNot-Executed: 1\r\n\r\n`,
  'with a length and chunks': ({ id }) =>
    `HTTP/1.1 503 Full\r\nRequest-Id: ${id}\r\nNot-Executed: 1\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n`,
};

/** Responses to the request that do not say that it has not run. */
const UNPROVEN: Readonly<Record<string, (request: ReceivedRequest) => string>> = {
  '503 that does not say so': ({ id }) => refusal('503 Failed', [`Request-Id: ${id}`]),
  'signed 503 that does not say so': ({ id }) =>
    refusal('503 Failed', [`Request-Id: ${id}`, SIGNATURE]),
  'signed 429 that does not say so': ({ id }) =>
    refusal('429 Failed', [`Request-Id: ${id}`, SIGNATURE]),
  'signed 408 that does not say so': ({ id }) =>
    refusal('408 Failed', [`Request-Id: ${id}`, SIGNATURE]),
  'success that says so': ({ id }) =>
    refusal('200 OK', [`Request-Id: ${id}`, SIGNATURE, 'Not-Executed: 1']),
};

for (const [kind, route] of Object.entries(KINDS)) {
  for (const [name, written] of Object.entries(FOREIGN)) {
    // Guards against a promise "not run" that no runner has given for this request, and a second run.
    test(`a refusal written again is no promise: ${kind}, ${name}`, async (t) => {
      t.timeout(TEST_TIMEOUT_MS);
      await takeTurn(t);
      const { harness, runs } = await startFleet(t, { route, written });
      const reply = await harness.call({ headers: { 'Request-Id': 'later' } });
      t.false(PROMISES.includes(reply.status), `${reply.status}`);
      if (ONCE_ONLY.has(kind)) t.is(runs.length, 1);
      else t.true(runs.length <= 2);
      if (reply.status === 200) t.regex(reply.body, /whole|piece 2/);
    });
  }
}

for (const [kind, route] of Object.entries(KINDS)) {
  for (const [name, written] of Object.entries(UNPROVEN)) {
    // Guards against telling a caller "not run" for a request that its runner may have run.
    test(`a response that does not say "not run" is no promise: ${kind}, ${name}`, async (t) => {
      t.timeout(TEST_TIMEOUT_MS);
      await takeTurn(t);
      const { harness, runs } = await startFleet(t, { route, written });
      const reply = await harness.call();
      t.is(reply.status, ONCE_ONLY.has(kind) ? 502 : 200);
      t.is(runs.length, ONCE_ONLY.has(kind) ? 1 : 2);
    });
  }
}

interface Leftover {
  /** @default 'POST' */
  readonly method?: string;
  /** Pieces that a runner writes for a request, 20 ms apart; the refusal belongs to no request. */
  readonly pieces: (request: ReceivedRequest, response: string) => readonly string[];
  /** Time between the response and the next request, in milliseconds. */
  readonly idleMs: number;
}

const REPEATED = refusal('503 Full', ['Not-Executed: 1']);

/** Ways in which the bytes of a refusal follow a whole response on its connection. */
const LEFTOVERS: Readonly<Record<string, Leftover>> = {
  'in the same piece': { pieces: (_request, response) => [response + REPEATED], idleMs: 0 },
  'in the same piece, then idle': {
    pieces: (_request, response) => [response + REPEATED],
    idleMs: 60,
  },
  'while idle': { pieces: (_request, response) => [response, REPEATED], idleMs: 60 },
  'while the next request runs': {
    pieces: (_request, response) => [response, REPEATED],
    idleMs: 0,
  },
  'in two pieces, the second while idle': {
    pieces: (_request, response) => [response + REPEATED.slice(0, 20), REPEATED.slice(20)],
    idleMs: 60,
  },
  'in two pieces, the second while the next request runs': {
    pieces: (_request, response) => [response + REPEATED.slice(0, 20), REPEATED.slice(20)],
    idleMs: 0,
  },
  'after a piece of a status line': {
    pieces: (_request, response) => [`${response}HTTP/1.1`, REPEATED],
    idleMs: 0,
  },
  'after an empty line': {
    pieces: (_request, response) => [`${response}\r\n`, REPEATED],
    idleMs: 0,
  },
  'after bytes that are no response': {
    pieces: (_request, response) => [`${response}bytes`, REPEATED],
    idleMs: 0,
  },
  'after a response that closes the connection': {
    pieces: (_request, response) => [
      response.replace('\r\n\r\n', '\r\nConnection: close\r\n\r\n') + REPEATED,
    ],
    idleMs: 0,
  },
  'as the body of a response to HEAD': {
    method: 'HEAD',
    pieces: ({ id }) => [
      `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\n${SIGNATURE}\r\nContent-Length: ${REPEATED.length}\r\n\r\n${REPEATED}`,
    ],
    idleMs: 0,
  },
  'after a 204': {
    pieces: ({ id }) => [
      `HTTP/1.1 204 No Content\r\nRequest-Id: ${id}\r\n${SIGNATURE}\r\n\r\n${REPEATED}`,
    ],
    idleMs: 0,
  },
};

for (const [kind, route] of Object.entries(KINDS)) {
  for (const [name, { method = 'POST', pieces, idleMs }] of Object.entries(LEFTOVERS)) {
    // Guards against bytes after a response that are taken for the response to the next request.
    test(`a refusal after a whole response belongs to no request: ${kind}, ${name}`, async (t) => {
      t.timeout(TEST_TIMEOUT_MS);
      await takeTurn(t);
      const isStream = route.kind === 'streaming';
      const runner = await new ScriptedRunner((socket, request, index) => {
        const response = responseFor(request, isStream);
        if (index > 0) {
          setTimeout(() => socket.write(response), RESPONSE_MS);
          return;
        }
        for (const [at, piece] of pieces(request, response).entries()) {
          setTimeout(() => socket.write(piece), at * PIECE_MS);
        }
      }).listen();
      const harness = await GatewayHarness.start(t, { runners: [runner], route });
      const first = await harness.call({ method });
      t.true(first.isComplete);
      t.true(first.status === 200 || first.status === 204, `${first.status}`);
      await sleep(idleMs);
      const next = await harness.call();
      t.true(next.status === 200 || (idleMs === 0 && next.status === 502), `${next.status}`);
      t.is((await harness.call()).status, 200);
      t.is(runner.received.length, 3);
    });
  }
}

// Guards against a mismatch that the log does not explain.
test('a response to another request is logged with both ids', async (t) => {
  t.timeout(TEST_TIMEOUT_MS);
  await takeTurn(t);
  const { harness } = await startFleet(t, {
    route: ROUTE_KINDS['once-only'],
    written: () => refusal(),
  });
  await harness.call({ headers: { 'Request-Id': 'later' } });
  const line = harness.lines.findLast((text) => text.includes('"event":"attempt-ended"'));
  t.like(JSON.parse(line ?? '{}'), {
    request: 'later',
    outcome: 'broken',
    reason: 'response belongs to request "earlier"',
  });
});

for (const [kind, route] of Object.entries(KINDS)) {
  // Guards against a check of refusals that loses those of the request itself.
  test(`a request that a runner refused is served by another one: ${kind}`, async (t) => {
    t.timeout(TEST_TIMEOUT_MS);
    await takeTurn(t);
    const refusedBy = new Map<string, number>();
    const servedBy = new Map<string, number>();
    const runners = await Promise.all(
      [0, 1].map((runner) =>
        new ScriptedRunner((socket, request) => {
          const { id } = request;
          if (refusedBy.has(id)) {
            servedBy.set(id, runner);
            socket.write(responseFor(request, route.kind === 'streaming'));
            return;
          }
          refusedBy.set(id, runner);
          socket.write(refusal('503 Full', [`Request-Id: ${id}`, 'Not-Executed: 1']));
        }).listen(),
      ),
    );
    const harness = await GatewayHarness.start(t, { runners, route });
    const statuses: number[] = [];
    for (let count = 0; count < 40; count += 1) {
      statuses.push((await harness.call()).status);
      await sleep(BUDGET_MS);
    }
    t.deepEqual(new Set(statuses), new Set([200]));
    t.is(servedBy.size, 40);
    for (const [id, runner] of servedBy) t.not(refusedBy.get(id), runner);
  });
}

for (const status of ['200 OK', '500 Failed']) {
  // Guards against a runner that writes the header with which peers reject requests.
  test(`a runner's response is no rejection of the peer that forwards it: ${status}`, async (t) => {
    t.timeout(TEST_TIMEOUT_MS);
    await takeTurn(t);
    const runs = new Map<string, number>();
    const runners = await Promise.all(
      [0, 1].map(() =>
        new ScriptedRunner((socket, { id }) => {
          runs.set(id, (runs.get(id) ?? 0) + 1);
          const headers = [`Request-Id: ${id}`, SIGNATURE, 'Passed-Request-Rejected: node-busy'];
          socket.write(refusal(status, headers));
        }).listen(),
      ),
    );
    t.teardown(() => Promise.all(runners.map((runner) => runner.close())));
    const fleet = await CutFleet.start(t, {
      runners,
      gateways: 3,
      route: { ...ROUTE_KINDS['once-only'], max_attempts: 3 },
    });
    await sleep(HEARD_MS);
    await fleet.setLinks([0], 'cut');
    await sendFor([fleet.gateways[0]], DECISION_MS);
    runs.clear();
    const outcomes = await sendFor([fleet.gateways[0]], DECISION_MS);
    t.true(runs.size > 0);
    t.deepEqual(
      [...runs.values()].filter((count) => count > 1),
      [],
    );
    const forwarded = outcomes.filter((outcome) => status.startsWith(String(outcome.status)));
    t.is(forwarded.length, runs.size);
  });
}
