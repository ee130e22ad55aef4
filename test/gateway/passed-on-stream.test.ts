import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { CutFleet } from './cut-fleet.ts';
import { ROUTE_KINDS } from './route-kinds.ts';
import { chunk, event, headFor, streamHeadFor } from './scripted-response.ts';
import { ScriptedRunner } from './scripted-runner.ts';
import type { ReceivedRequest } from './scripted-runner.ts';

interface PassedOn {
  readonly body: string;
  readonly isComplete: boolean;
  /** Outcomes of the requests that the first node passed on. */
  readonly outcomes: readonly unknown[];
}

const LAST_CHUNK = '0\r\n\r\n';
const SENT = event(1) + event(2);
/** Time within which nodes hear each other, in milliseconds. */
const HEARING_MS = 500;

/** A stream that loses its runners at one node after two events, and goes on at a peer. */
async function passOn(
  t: ExecutionContext,
  responseOf: (request: ReceivedRequest) => string,
): Promise<PassedOn> {
  const runners = await Promise.all(
    [0, 1, 2].map(() =>
      new ScriptedRunner((socket, request) => {
        if (request.head.includes('Last-Event-Id')) socket.end(responseOf(request));
        else socket.write(streamHeadFor(request) + chunk(SENT));
      }).listen(),
    ),
  );
  t.teardown(() => Promise.all(runners.map((runner) => runner.close())));
  const route = { ...ROUTE_KINDS.stream, timeout_ms: 20_000, max_attempts: 3 };
  const fleet = await CutFleet.start(t, { runners, gateways: 2, route });
  await sleep(HEARING_MS);
  const [node] = fleet.gateways;
  if (!node) throw new TypeError('no gateway was started');
  const call = node.call({ headers: { 'Deadline-Ms': '20000' } });
  await node.waitUntil(() => runners.some(({ received }) => received.length > 0));
  await sleep(HEARING_MS);
  await fleet.setLinks([0], 'cut');
  const { body, isComplete } = await call;
  const outcomes = node.lines
    .map((line) => JSON.parse(line) as Readonly<Record<string, unknown>>)
    .filter((line) => line.event === 'request-passed-on')
    .map((line) => line.outcome);
  return { body, isComplete, outcomes };
}

test('a stream that is passed on to a peer goes on with the events of its runner', async (t) => {
  const { body, isComplete, outcomes } = await passOn(t, (request) => {
    return streamHeadFor(request) + chunk(event(3)) + LAST_CHUNK;
  });
  t.is(body, SENT + event(3));
  t.true(isComplete);
  t.deepEqual(outcomes, ['relayed']);
});

const NO_CONTINUATIONS: Readonly<Record<string, (request: ReceivedRequest) => string>> = {
  'with 204': (request) => headFor(request, { status: '204 No Content', framing: [] }),
  'with 500': (request) => {
    return `${headFor(request, { status: '500 Failed', framing: ['Content-Length: 4'] })}oops`;
  },
  'from the start': (request) => {
    return streamHeadFor(request) + chunk(SENT + event(3)) + LAST_CHUNK;
  },
  'with no event and no framing': (request) => streamHeadFor(request, ['Connection: close']),
  'with the head of an error': (request) => {
    const error = 'HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\noops\n\n';
    return streamHeadFor(request) + chunk(error) + LAST_CHUNK;
  },
};

for (const [name, responseOf] of Object.entries(NO_CONTINUATIONS)) {
  // Guards against streams that a peer ends, repeats or mixes (ORDER, MIXED).
  test(`a stream that is passed on to a peer whose runners answer ${name} does not look complete`, async (t) => {
    const { body, isComplete, outcomes } = await passOn(t, responseOf);
    t.is(body, SENT);
    t.false(isComplete);
    t.true(outcomes.length > 0, 'it was passed on');
  });
}
