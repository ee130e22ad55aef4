import test from 'ava';
import type { ExecutionContext } from 'ava';
import { GatewayHarness } from './gateway-harness.ts';
import { chunk, event, headFor, streamHeadFor } from './scripted-response.ts';
import { ScriptedRunner } from './scripted-runner.ts';
import type { ReceivedRequest } from './scripted-runner.ts';

type ResponseOf = (request: ReceivedRequest, index: number) => string;

interface Resumed {
  readonly harness: GatewayHarness;
  readonly reply: Awaited<ReturnType<GatewayHarness['call']>>;
  /** Requests that reached runners, in the order of their arrival. */
  readonly received: readonly ReceivedRequest[];
}

const LAST_CHUNK = '0\r\n\r\n';
const SENT = event(1) + event(2);

/** Chunked stream that its runner breaks off after `text`. */
function brokenOff(request: ReceivedRequest, text: string): string {
  return streamHeadFor(request) + chunk(text);
}

/** Chunked stream of one chunk. */
function whole(request: ReceivedRequest, text: string): string {
  return streamHeadFor(request) + (text === '' ? '' : chunk(text)) + LAST_CHUNK;
}

/**
 * Sends a request over runners that answer with the responses in their order, whichever runner is
 * chosen, and close the connection after each.
 */
async function callOver(t: ExecutionContext, responses: readonly ResponseOf[]): Promise<Resumed> {
  const received: ReceivedRequest[] = [];
  const runners = await Promise.all(
    responses.map(() =>
      new ScriptedRunner((socket, request) => {
        const responseOf = responses[received.length];
        received.push(request);
        socket.end(responseOf?.(request, received.length - 1) ?? '');
      }).listen(),
    ),
  );
  const harness = await GatewayHarness.start(t, {
    runners,
    route: {
      kind: 'streaming',
      stream_resume: true,
      timeout_ms: 20_000,
      max_attempts: responses.length,
    },
  });
  const reply = await harness.call({ headers: { 'Deadline-Ms': '20000' } });
  return { harness, reply, received };
}

/** A stream that breaks off after two events, and the response of the next runner. */
function resumeWith(t: ExecutionContext, responseOf: ResponseOf): Promise<Resumed> {
  return callOver(t, [(request) => brokenOff(request, SENT), responseOf]);
}

function reasonsOf({ lines }: GatewayHarness): readonly unknown[] {
  return lines
    .map((line) => JSON.parse(line) as Readonly<Record<string, unknown>>)
    .filter((line) => line.event === 'attempt-ended')
    .map((line) => line.reason);
}

const NO_CONTINUATIONS: Readonly<Record<string, ResponseOf>> = {
  '201': (request) => statusFor(request, '201 Created') + chunk(event(3)) + LAST_CHUNK,
  '202 without a body': (request) => headFor(request, noBody('202 Accepted')),
  '204': (request) => headFor(request, { status: '204 No Content', framing: [] }),
  '205': (request) => headFor(request, noBody('205 Reset Content')),
  '206': (request) => statusFor(request, '206 Partial Content') + chunk(event(3)) + LAST_CHUNK,
  '299': (request) => statusFor(request, '299 Other') + chunk(event(3)) + LAST_CHUNK,
};

function noBody(status: string): { readonly status: string; readonly framing: readonly string[] } {
  return { status, framing: ['Content-Length: 0'] };
}

function statusFor(request: ReceivedRequest, status: string): string {
  const framing = ['Content-Type: text/event-stream', 'Transfer-Encoding: chunked'];
  return headFor(request, { status, framing });
}

for (const [name, responseOf] of Object.entries(NO_CONTINUATIONS)) {
  // Guards against ending a stream as complete with a success that is not its continuation (ORDER).
  test(`a resumed stream whose next runner answers ${name} does not look complete`, async (t) => {
    const { harness, reply } = await resumeWith(t, responseOf);
    t.is(reply.body, SENT);
    t.false(reply.isComplete);
    t.is(reasonsOf(harness).at(-1), 'response does not continue the event stream');
  });
}

// Guards against giving a stream up at the first runner that does not continue it.
test('a stream that a runner does not continue goes on at the one after it', async (t) => {
  const { reply, received } = await callOver(t, [
    (request) => brokenOff(request, SENT),
    (request) => headFor(request, { status: '204 No Content', framing: [] }),
    (request) => whole(request, event(3)),
  ]);
  t.is(reply.body, SENT + event(3));
  t.true(reply.isComplete);
  t.regex(received[2]?.head ?? '', /Last-Event-Id: 2\r\n/);
});

// Guards against ending a stream as complete when its next runner crashed before an event (ORDER).
test('a resumed stream without length or chunks that is closed before an event does not look complete', async (t) => {
  for (const text of ['', ': waiting\n\n']) {
    const { reply } = await resumeWith(t, (request) => {
      return streamHeadFor(request, ['Connection: close']) + text;
    });
    t.is(reply.body, SENT + text);
    t.false(reply.isComplete);
  }
});

// Guards against ending a stream as complete through a caller that resumes it itself (ORDER).
test('a stream without length or chunks that a caller resumes and that is closed before an event does not look complete', async (t) => {
  const runner = await new ScriptedRunner((socket, request) => {
    socket.end(streamHeadFor(request, ['Connection: close']));
  }).listen();
  const harness = await GatewayHarness.start(t, {
    runners: [runner],
    route: { kind: 'streaming', stream_resume: true },
  });
  const reply = await harness.call({ headers: { 'Last-Event-Id': '2' } });
  t.is(reply.status, 502);
});

// Guards against breaking off a stream of which only the end was missing.
test('a resumed stream of which nothing is left ends as its next runner ends it', async (t) => {
  const responses: readonly ResponseOf[] = [
    (request) => whole(request, ''),
    (request) => streamHeadFor(request, ['Content-Length: 0']),
    (request) => whole(request, ': nothing left\n'),
  ];
  for (const responseOf of responses) {
    const { reply } = await resumeWith(t, responseOf);
    t.true(reply.body.startsWith(SENT));
    t.true(reply.isComplete);
  }
});

// Guards against changing an answer of which nothing has been sent.
test('a success without a body on a streaming route reaches the caller as it is', async (t) => {
  const { reply } = await callOver(t, [
    (request) => headFor(request, { status: '204 No Content', framing: [] }),
  ]);
  t.is(reply.status, 204);
  t.is(reply.headers['response-signature'], 's.1');
  t.true(reply.isComplete);
});
