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

/** Longer than a busy machine holds the process up, so that no runner is tried for the silence of another one. */
const SILENCE_TARGET_MS = 20_000;
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
      target_latency_ms: SILENCE_TARGET_MS,
      gap_target_ms: SILENCE_TARGET_MS,
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
  for (const text of ['', ': waiting\n\n', 'retry: 100\n\n', 'event: ready\n\n']) {
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

// Guards against the head of one runner before the body of another one (MIXED, ORDER).
test('a stream that breaks off before its first event leaves nothing of its head', async (t) => {
  const unbegun: ResponseOf = (request) => {
    const framing = ['Content-Type: text/event-stream', 'X-Run: 1', 'Transfer-Encoding: chunked'];
    return headFor(request, { framing }) + chunk('id: 1\nda');
  };
  const json = ['Content-Type: application/json', 'X-Run: 2', 'Content-Length: 2'];
  const { reply } = await callOver(t, [
    unbegun,
    (request) => `${headFor(request, { status: '201 Created', framing: json })}{}`,
  ]);
  t.is(reply.status, 201);
  t.is(reply.headers['content-type'], 'application/json');
  t.is(reply.headers['x-run'], '2');
  t.is(reply.body, '{}');
  const empty = await callOver(t, [
    unbegun,
    (request) => headFor(request, { status: '204 No Content', framing: ['X-Run: 2'] }),
  ]);
  t.is(empty.reply.status, 204);
  t.is(empty.reply.headers['x-run'], '2');
});

/** Heads of responses that do not continue a stream though their bodies would. */
const OTHER_HEADS: Readonly<Record<string, readonly string[]>> = {
  'no signature': ['Request-Id: ID', 'Content-Type: text/event-stream'],
  'the id of another request': ['Request-Id: other', 'Response-Signature: s.1'],
  'no request id': ['Response-Signature: s.1'],
  'another type': ['Request-Id: ID', 'Response-Signature: s.1', 'Content-Type: text/plain'],
  'an encoding': ['Request-Id: ID', 'Response-Signature: s.1', 'Content-Encoding: gzip'],
};

for (const [name, headers] of Object.entries(OTHER_HEADS)) {
  // Guards against bytes of another response in a stream (MIXED).
  test(`a stream is not resumed with a response with ${name}`, async (t) => {
    const { reply } = await resumeWith(t, (request) => {
      const lines = ['HTTP/1.1 200 OK', ...headers, 'Transfer-Encoding: chunked', '', ''];
      const head = lines.join('\r\n').replace('Request-Id: ID', `Request-Id: ${request.id}`);
      return head + chunk(event(3)) + LAST_CHUNK;
    });
    t.is(reply.body, SENT);
    t.false(reply.isComplete);
  });
}

const ERROR_TEXT = '{"code":"busy"}';
const ERROR_HEAD = `HTTP/1.1 503 Service Unavailable\r\nContent-Length: ${ERROR_TEXT.length}\r\n\r\n`;
const ERROR = ERROR_HEAD + ERROR_TEXT;
const INSIDE = 'id: 3\ndata: pie';
/** Streams into which their runner writes an error. */
const MIXED_STREAMS: Readonly<Record<string, ResponseOf>> = {
  'between two events, without framing': (request) => unframed(request, SENT + ERROR),
  'inside an event, without framing': (request) => unframed(request, SENT + INSIDE + ERROR),
  'inside an event and behind line ends, without framing': (request) => {
    return unframed(request, `${SENT}${INSIDE}${ERROR}\n\n${event(4)}`);
  },
  'between two events, and its text ends like an event': (request) => {
    return unframed(request, `${SENT}${ERROR}\n\n`);
  },
  'between two events, in place of a chunk': (request) => brokenOff(request, SENT) + ERROR,
  'inside an event, in place of a chunk': (request) => brokenOff(request, SENT + INSIDE) + ERROR,
  'inside an event, in a chunk': (request) => whole(request, `${SENT}${INSIDE}${ERROR}\n\n`),
  'inside an event, within the length': (request) => {
    const text = `${SENT}${INSIDE}${ERROR}\n\n`;
    return streamHeadFor(request, [`Content-Length: ${text.length}`]) + text;
  },
  'inside an event, without a length': (request) => {
    const head = 'HTTP/1.1 503 Busy\r\nConnection: close\r\n\r\n';
    return unframed(request, `${SENT}${INSIDE}${head}`);
  },
};

function unframed(request: ReceivedRequest, text: string): string {
  return streamHeadFor(request, ['Connection: close']) + text;
}

for (const [name, responseOf] of Object.entries(MIXED_STREAMS)) {
  // Guards against the error of a runner in the middle of a stream (MIXED).
  test(`a runner that writes an error ${name}, is left, and its stream goes on elsewhere`, async (t) => {
    const resumed = await callOver(t, [
      responseOf,
      (request) => {
        const isResumed = request.head.includes('Last-Event-Id: 2\r\n');
        return whole(request, isResumed ? event(3) : SENT + event(3));
      },
    ]);
    t.is(resumed.reply.body, SENT + event(3));
    t.true(resumed.reply.isComplete);
    const ended = await callOver(t, [responseOf]);
    // A chunk that cannot be read may hide those before it.
    if (ended.reply.status === 502) return;
    t.is(ended.reply.body, SENT);
    t.false(ended.reply.isComplete);
  });
}

// Guards against breaking off streams that tell of HTTP.
test('an event may contain the text of a head, and fields that are not known', async (t) => {
  const text = [
    'id: 1\nweight-versions: 3\ndata: HTTP/1.1 503 Service Unavailable\ndata: Content-Length: 4\n\n',
    'id: 2\nevent: connection\ndata\nHTTP: 1\nconnections: 2\n: HTTP/1.1 503 Busy\n\n',
  ].join('');
  const { reply } = await callOver(t, [(request) => whole(request, text)]);
  t.is(reply.body, text);
  t.true(reply.isComplete);
});

/** Events with opaque ids. */
function opaque(...ids: readonly string[]): string {
  return ids.map((id) => `id: ${id}\ndata: piece ${id}\n\n`).join('');
}

const RESTARTS: Readonly<Record<string, readonly [sent: string, continuation: string]>> = {
  'from the start': [SENT, event(1) + event(2) + event(3)],
  'at the last event that was sent': [SENT, event(2) + event(3)],
  'at an earlier one of ids with two digits': [event(9) + event(10), event(9) + event(11)],
  'at an earlier one of opaque ids': [opaque('b', 'a', 'c'), opaque('a', 'c', 'd')],
  'from the start of opaque ids': [opaque('b', 'a', 'c'), opaque('b', 'a', 'c', 'd')],
  'with an event without an id': [SENT, `data: piece 1\n\n${event(3)}`],
  'after an event that is missing': [SENT, event(4)],
  'from the start after a comment': [SENT, `: again\n\n${event(1)}${event(2)}${event(3)}`],
  'from the start behind an id without data': [SENT, `id: 0\n\n${event(1)}${event(3)}`],
  'from the start behind a byte order mark': [SENT, `\uFEFF${event(1)}${event(2)}${event(3)}`],
};

for (const [name, [sent, continuation]] of Object.entries(RESTARTS)) {
  // Guards against events that come twice, or are missing, in a stream of two runs (ORDER).
  test(`a resumed stream whose next runner begins ${name} goes on elsewhere`, async (t) => {
    const last = sent.includes('10') ? '11' : sent === SENT ? '3' : 'd';
    const broken: ResponseOf = (request) => whole(request, continuation);
    const right: ResponseOf = (request) => whole(request, opaque(last));
    const first: ResponseOf = (request) => brokenOff(request, sent);
    const resumed = await callOver(t, [first, broken, right]);
    const comment = continuation.startsWith(':') ? ': again\n\n' : '';
    t.is(resumed.reply.body, sent + comment + opaque(last));
    t.true(resumed.reply.isComplete);
    const ended = await callOver(t, [first, broken]);
    t.is(ended.reply.body, sent + comment);
    t.false(ended.reply.isComplete);
    t.regex(String(reasonsOf(ended.harness).at(-1)), /^event of the stream /);
  });
}

// Guards against breaking off streams whose ids are right.
test('a resumed stream goes on with ids that increase in another way', async (t) => {
  const streams: readonly (readonly [string, string])[] = [
    [event(5) + event(10), event(12) + event(20)],
    [event(1), event(7)],
    [opaque('k', 'b'), opaque('a', 'c')],
    [opaque('99999999999999999998'), opaque('99999999999999999999')],
    [SENT, `: still here\n\nretry: 100\n\n${event(3)}data: no id\n\n`],
  ];
  for (const [sent, continuation] of streams) {
    const { reply } = await callOver(t, [
      (request) => brokenOff(request, sent),
      (request) => whole(request, continuation),
    ]);
    t.is(reply.body, sent + continuation);
    t.true(reply.isComplete);
  }
});

// Guards against events that come twice in the stream of one runner (ORDER).
test('a stream whose runner repeats an event goes on elsewhere after the events that were right', async (t) => {
  for (const repeated of [event(1), event(2)]) {
    const { reply, received } = await callOver(t, [
      (request) => whole(request, SENT + repeated + event(3)),
      (request) => whole(request, event(3)),
    ]);
    t.is(reply.body, SENT + event(3));
    t.true(reply.isComplete);
    t.regex(received[1]?.head ?? '', /Last-Event-Id: 2\r\n/);
  }
});

// Guards against events that come twice because the last one that was sent had no id (ORDER).
test('a stream whose last event has no id of its own is not resumed after the one before it', async (t) => {
  for (const last of ['data: no id\n\n', 'id\ndata: empty id\n\n']) {
    const { reply, received } = await callOver(t, [
      (request) => brokenOff(request, event(1) + last),
      (request) => whole(request, last + event(3)),
    ]);
    t.is(reply.body, event(1) + last);
    t.false(reply.isComplete);
    t.is(received.length, 1);
  }
});

// Guards against breaking off streams of one runner that are passed on as they are.
test('a stream of one runner without ids, with some or with gaps is passed on as it is', async (t) => {
  const texts = [
    'data: a\n\ndata: b\n\n',
    `data: a\n\n${event(1)}data: b\n\n${event(7)}`,
    opaque('a', 'a', 'b'),
    `id: 1\n\n${event(1)}id: 1\n\n${event(2)}`,
  ];
  for (const text of texts) {
    const { reply } = await callOver(t, [(request) => whole(request, text)]);
    t.is(reply.body, text);
    t.true(reply.isComplete);
  }
});
