import test from 'ava';
import type { ExecutionContext } from 'ava';
import type { GatewayHarness } from './gateway-harness.ts';
import { chunk, event, headFor, responseTo, streamHeadFor } from './scripted-response.ts';
import { ScriptedRunner } from './scripted-runner.ts';
import type { ReceivedRequest } from './scripted-runner.ts';
import { startWithoutDeadline } from './start-without-deadline.ts';

type Script = ConstructorParameters<typeof ScriptedRunner>[0];

function startRunner(script: Script): Promise<ScriptedRunner> {
  return new ScriptedRunner(script).listen();
}

/** Chunked stream that its runner breaks off after `text`. */
function brokenOff(request: ReceivedRequest, text: string): string {
  return streamHeadFor(request) + chunk(text);
}

/** Sends a request of a resumable route over two runners that send a response and close. */
async function callResumable(
  t: ExecutionContext,
  responseOf: (request: ReceivedRequest) => string,
): ReturnType<GatewayHarness['call']> {
  const runners = await Promise.all(
    [0, 1].map(() =>
      startRunner((socket, request) => {
        socket.end(responseOf(request));
      }),
    ),
  );
  const harness = await startWithoutDeadline(t, {
    runners,
    route: { kind: 'streaming', stream_resume: true },
  });
  return harness.call();
}

function lineOf(harness: GatewayHarness, name: string): Record<string, unknown> {
  const line = harness.lines.find((text) => text.includes(`"event":"${name}"`)) ?? '{}';
  return JSON.parse(line) as Record<string, unknown>;
}

test('log lines and metrics tell how a response was framed and how its connection ended', async (t) => {
  const runner = await startRunner((socket, request) => {
    if (request.head.includes('/length')) socket.write(responseTo(request, 'whole'));
    else if (request.head.includes('/closed')) socket.end(`${headFor(request)}whole`);
    else socket.write(`${headFor(request)}part`, () => socket.resetAndDestroy());
  });
  const harness = await startWithoutDeadline(t, {
    runners: [runner],
    route: { kind: 'non_idempotent' },
  });
  await harness.call({ path: '/p/length' });
  t.like(lineOf(harness, 'request-served'), { framing: 'length', bytes: 5, connection: 'open' });
  harness.lines.length = 0;
  await harness.call({ path: '/p/closed' });
  t.like(lineOf(harness, 'request-served'), {
    framing: 'connection',
    bytes: 5,
    connection: 'closed',
  });
  await harness.call({ path: '/p/reset' });
  t.like(lineOf(harness, 'attempt-ended'), { framing: 'connection', connection: 'reset' });
  const page = await fetch(`http://127.0.0.1:${harness.gateway.ports.metrics}/metrics`);
  t.regex(
    await page.text(),
    /responses\{framing="connection",connection="closed",partialEvent="false",outcome="answered"\} 1/,
  );
});

test('the log line of a stream has the bytes after its last complete event', async (t) => {
  const runner = await startRunner((socket, request) => {
    socket.write(streamHeadFor(request) + chunk(event(1)) + chunk('id: 2\nda'));
    setTimeout(() => socket.destroy(), 50);
  });
  const harness = await startWithoutDeadline(t, {
    runners: [runner],
    route: { kind: 'streaming', max_attempts: 1 },
  });
  await harness.call();
  t.like(lineOf(harness, 'attempt-ended'), { framing: 'chunked', partialEventBytes: 8 });
});

// Guards against ending a stream as complete when its runner crashed (ORDER).
test('a stream without length or chunks that is closed inside an event does not look complete', async (t) => {
  const runner = await startRunner((socket, request) => {
    socket.end(`${streamHeadFor(request, ['Connection: close'])}${event(1)}id: 2\ndata: pie`);
  });
  const harness = await startWithoutDeadline(t, {
    runners: [runner],
    route: { kind: 'streaming' },
  });
  const reply = await harness.call();
  t.is(reply.body, event(1));
  t.false(reply.isComplete);
  t.is(runner.received.length, 1);
});

// Guards against taking a reset for the end of a stream without framing (ORDER).
test('a stream without length or chunks that is reset inside an event does not look complete', async (t) => {
  const runner = await startRunner((socket, request) => {
    const head = streamHeadFor(request, ['Connection: close']);
    socket.write(`${head}${event(1)}id: 2\ndata: pie`, () => socket.resetAndDestroy());
  });
  const harness = await startWithoutDeadline(t, {
    runners: [runner],
    route: { kind: 'streaming' },
  });
  const reply = await harness.call();
  t.false(reply.isComplete);
  t.notRegex(reply.body, /id: 2/);
});

// Guards against trusting the framing of a stream over its events (ORDER).
test('a stream whose framing is completed inside an event does not look complete', async (t) => {
  const body = `${event(1)}id: 2\ndata: pie`;
  const framed: readonly ((request: ReceivedRequest) => string)[] = [
    (request) => `${streamHeadFor(request)}${chunk(body)}0\r\n\r\n`,
    (request) => `${streamHeadFor(request, [`Content-Length: ${body.length}`])}${body}`,
  ];
  for (const responseOf of framed) {
    const runner = await startRunner((socket, request) => {
      socket.write(responseOf(request));
    });
    const harness = await startWithoutDeadline(t, {
      runners: [runner],
      route: { kind: 'streaming' },
    });
    const reply = await harness.call();
    t.is(reply.body, event(1));
    t.false(reply.isComplete);
  }
});

// Guards against losing a stream that another runner could have continued (ORDER).
test('a resumable stream that ends inside an event continues at another runner', async (t) => {
  const reply = await callResumable(t, (request) => {
    const isResumed = request.head.includes('Last-Event-Id: 1\r\n');
    const rest = isResumed ? event(2) + event(3) : `${event(1)}id: 2\ndata: pie`;
    return streamHeadFor(request, ['Connection: close']) + rest;
  });
  t.is(reply.body, event(1) + event(2) + event(3));
  t.true(reply.isComplete);
});

// Guards against breaking off bodies that have no events.
test('a body on a streaming route that is not an event stream is complete when its framing is', async (t) => {
  const runner = await startRunner((socket, request) => {
    const framing = ['Content-Type: application/json', 'Content-Length: 8'];
    socket.write(`${headFor(request, { framing })}{"a": 1}`);
  });
  const harness = await startWithoutDeadline(t, {
    runners: [runner],
    route: { kind: 'streaming' },
  });
  const reply = await harness.call();
  t.is(reply.body, '{"a": 1}');
  t.true(reply.isComplete);
});

// Guards against breaking off streams that end after a comment.
test('a comment after the last event does not break a stream off', async (t) => {
  const runner = await startRunner((socket, request) => {
    socket.end(`${streamHeadFor(request, ['Connection: close'])}${event(1)}: bye\n`);
  });
  const harness = await startWithoutDeadline(t, {
    runners: [runner],
    route: { kind: 'streaming' },
  });
  const reply = await harness.call();
  t.is(reply.body, `${event(1)}: bye\n`);
  t.true(reply.isComplete);
});

// Guards against a response that is neither continued nor ended.
test('a resumed stream whose next runner answers with an error ends visibly', async (t) => {
  const reply = await callResumable(t, (request) => {
    const error = headFor(request, { status: '500 Failed', framing: ['Content-Length: 4'] });
    return request.head.includes('Last-Event-Id') ? `${error}oops` : brokenOff(request, event(1));
  });
  t.is(reply.body, event(1));
  t.false(reply.isComplete);
});

// Guards against a response made of two bodies (ORDER).
test('a resumed stream is not joined with a body that is not an event stream', async (t) => {
  const reply = await callResumable(t, (request) => {
    const framing = ['Content-Type: text/plain', 'Content-Length: 5'];
    return request.head.includes('Last-Event-Id')
      ? `${headFor(request, { framing })}other`
      : brokenOff(request, event(1));
  });
  t.is(reply.body, event(1));
  t.false(reply.isComplete);
});

// Guards against sending events twice (ORDER).
test('a stream whose events have no ids is not replayed at another runner', async (t) => {
  const reply = await callResumable(t, (request) => brokenOff(request, 'data: first\n\n'));
  t.is(reply.body, 'data: first\n\n');
  t.false(reply.isComplete);
});

// Guards against an orderly close that ends a response without framing (ORDER).
test('a stream that breaks off is reset for a caller that does not read chunks', async (t) => {
  const runner = await startRunner((socket, request) => {
    socket.write(streamHeadFor(request) + chunk(event(1)));
    setTimeout(() => socket.destroy(), 50);
  });
  const harness = await startWithoutDeadline(t, {
    runners: [runner],
    route: { kind: 'streaming', max_attempts: 1 },
  });
  const head =
    'POST /p/x HTTP/1.0\r\nHost: a.example\r\nX-Api-Key: key\r\nRequest-Id: old\r\nContent-Length: 0\r\n\r\n';
  const end = await harness.sendUntilEnd(head);
  t.true(end.received.includes(event(1)));
  t.is(end.error, 'ECONNRESET');
});

// Guards against reporting a delivered answer as broken.
test('a whole response with a length or chunks is delivered although its connection is reset after it', async (t) => {
  const framed: readonly ((request: ReceivedRequest) => string)[] = [
    (request) => responseTo(request, 'whole'),
    (request) =>
      `${headFor(request, { framing: ['Transfer-Encoding: chunked'] })}${chunk('whole')}0\r\n\r\n`,
  ];
  for (const responseOf of framed) {
    const runner = await startRunner((socket, request) => {
      socket.write(responseOf(request), () => socket.resetAndDestroy());
    });
    const harness = await startWithoutDeadline(t, {
      runners: [runner],
      route: { kind: 'non_idempotent' },
    });
    for (let index = 0; index < 10; index += 1) {
      const reply = await harness.call();
      t.is(reply.status, 200);
      t.is(reply.body, 'whole');
    }
  }
});

// Guards against ending a stream as complete when its runner crashed before the first event (ORDER).
test('a stream without length or chunks that is closed before its first event does not look complete', async (t) => {
  const runner = await startRunner((socket, request) => {
    socket.end(streamHeadFor(request, ['Connection: close']));
  });
  const harness = await startWithoutDeadline(t, {
    runners: [runner],
    route: { kind: 'streaming' },
  });
  const reply = await harness.call();
  t.is(reply.status, 502);
});
