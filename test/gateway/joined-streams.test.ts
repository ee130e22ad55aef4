import type { Socket } from 'node:net';
import test from 'ava';
import fc from 'fast-check';
import { GatewayHarness } from './gateway-harness.ts';
import { chunk, headFor, SIGNATURE, streamHeadFor } from './scripted-response.ts';
import { ScriptedRunner } from './scripted-runner.ts';
import type { ReceivedRequest } from './scripted-runner.ts';

type Framing = 'chunked' | 'length' | 'connection';

/** What a runner does with one attempt at a request. */
interface Attempt {
  readonly kind:
    | 'continue'
    | 'restart'
    | 'gap'
    | 'repeat'
    | 'no-content'
    | 'created'
    | 'partial'
    | 'failed'
    | 'refused'
    | 'json'
    | 'unsigned'
    | 'encoded'
    | 'nothing'
    | 'mixed';
  readonly framing: Framing;
  /** How much of its text the runner sends before it breaks off. */
  readonly percent: number;
  readonly isReset: boolean;
}

interface Scenario {
  readonly events: number;
  readonly ids: 'integers' | 'opaque';
  readonly attempts: readonly Attempt[];
}

const RUNS = 100;
/** Scenarios that are played at the same time. */
const PARALLEL = 6;
const SEED = 32;
const MAX_ATTEMPTS = 3;
const ERROR_HEAD = 'HTTP/1.1 503 Busy\r\nConnection: close\r\n\r\n';
const FIRST_REDIRECT = 300;
const LAST_CHUNK = '0\r\n\r\n';
const KINDS: readonly Attempt['kind'][] = [
  'continue',
  'continue',
  'continue',
  'restart',
  'gap',
  'repeat',
  'no-content',
  'created',
  'partial',
  'failed',
  'refused',
  'json',
  'unsigned',
  'encoded',
  'nothing',
  'mixed',
];
const FRAMING: Readonly<Record<Framing, (text: string) => string>> = {
  chunked: () => 'Transfer-Encoding: chunked',
  length: (text) => `Content-Length: ${text.length}`,
  connection: () => 'Connection: close',
};

const attempt: fc.Arbitrary<Attempt> = fc.record({
  kind: fc.constantFrom(...KINDS),
  framing: fc.constantFrom<Framing>('chunked', 'length', 'connection'),
  percent: fc.oneof(fc.constant(100), fc.integer({ min: 0, max: 100 })),
  isReset: fc.boolean(),
});
/** A stream that has mostly begun when it breaks off. */
const interrupted: fc.Arbitrary<Attempt> = fc.record({
  kind: fc.constantFrom('continue', 'continue', 'continue', 'mixed'),
  framing: fc.constantFrom<Framing>('chunked', 'length', 'connection'),
  percent: fc.integer({ min: 20, max: 99 }),
  isReset: fc.boolean(),
});
const scenario: fc.Arbitrary<Scenario> = fc.record({
  events: fc.integer({ min: 1, max: 8 }),
  ids: fc.constantFrom('integers', 'opaque'),
  attempts: fc.oneof(
    fc.array(attempt, { minLength: 1, maxLength: MAX_ATTEMPTS }),
    ...Array.from({ length: 3 }, () => fc.tuple(interrupted, attempt, attempt)),
  ),
});

function idOf({ ids }: Scenario, number: number): string {
  return ids === 'integers' ? String(number) : `${'cab'[number % 3] ?? ''}${number}`;
}

/** Events from one number to another, both included. */
function eventsOf(stream: Scenario, from: number, to: number): string {
  let text = '';
  for (let number = from; number <= to; number += 1) {
    text += `id: ${idOf(stream, number)}\ndata: piece ${number}\n\n`;
  }
  return text;
}

/** Number of the last event that the caller has received, as the request tells it. */
function numberAfter(request: ReceivedRequest): number {
  return Number(/last-event-id: \D?(\d+)/i.exec(request.head)?.[1] ?? 0);
}

/** Text of an event stream that the runner means to send. */
function textOf(stream: Scenario, { kind }: Attempt, after: number): string {
  const rest = eventsOf(stream, after + 1, stream.events);
  switch (kind) {
    case 'restart':
      return eventsOf(stream, 1, stream.events);
    case 'repeat':
      return eventsOf(stream, Math.max(1, after), stream.events);
    case 'gap':
      // A gap is known only after two events with steps of one.
      return after < 2 || stream.ids === 'opaque'
        ? rest
        : eventsOf(stream, after + 2, stream.events + 1);
    case 'nothing':
      return '';
    case 'mixed':
      return eventsOf(stream, after + 1, Math.min(after + 1, stream.events)) + ERROR_HEAD + rest;
    default:
      return rest;
  }
}

function isBetweenEvents(text: string): boolean {
  return text === '' || text.endsWith('\n\n');
}

/** Sends a stream, or a part of it that cannot be taken for the whole. */
function sendStream(socket: Socket, head: string, text: string, sent: Attempt): void {
  const { framing, percent, isReset } = sent;
  const part = text.slice(0, Math.floor((text.length * percent) / 100));
  const isWhole = part === text;
  const body = framing === 'chunked' && part !== '' ? chunk(part) : part;
  // Without framing, an orderly close between two events is the end of a stream.
  const resets =
    !isWhole && (isReset || (framing === 'connection' && isBetweenEvents(part) && part !== ''));
  if (resets) socket.write(head + body, () => socket.resetAndDestroy());
  else socket.end(head + body + (framing === 'chunked' && isWhole ? LAST_CHUNK : ''));
}

/** Head of a stream that is not one of a successful, plain response of the runner. */
function otherHead(request: ReceivedRequest, kind: Attempt['kind'], framing: string): string {
  const head = streamHeadFor(request, [framing]);
  if (kind === 'created') return head.replace('200 OK', '201 Created');
  if (kind === 'partial') return head.replace('200 OK', '206 Partial Content');
  if (kind === 'unsigned') return head.replace(`${SIGNATURE}\r\n`, '');
  if (kind === 'encoded') return head.replace(SIGNATURE, `${SIGNATURE}\r\nContent-Encoding: gzip`);
  return head;
}

function answer(socket: Socket, request: ReceivedRequest, stream: Scenario, sent: Attempt): void {
  const { kind } = sent;
  const framing = kind === 'nothing' ? 'connection' : sent.framing;
  if (kind === 'no-content') {
    socket.end(headFor(request, { status: '204 No Content', framing: [] }));
  } else if (kind === 'failed') {
    const head = headFor(request, { status: '500 Failed', framing: ['Content-Length: 8'] });
    socket.end(`${head}failed\n\n`);
  } else if (kind === 'refused') {
    const refusal = ['Not-Executed: 1', 'Content-Length: 4'];
    socket.end(`${headFor(request, { status: '503 Busy', framing: refusal })}busy`);
  } else if (kind === 'json') {
    const json = ['Content-Type: application/json', 'Content-Length: 2'];
    socket.end(`${headFor(request, { framing: json })}{}`);
  } else {
    const text = textOf(stream, sent, numberAfter(request));
    const head = otherHead(request, kind, FRAMING[framing](text));
    sendStream(socket, head, text, { ...sent, framing });
  }
}

interface Outcome {
  readonly attempts: number;
  /** Undefined when the caller got something else than an event stream. */
  readonly body: string | undefined;
  readonly isComplete: boolean;
}

/** Plays a scenario over as many runners as it may have attempts. */
async function play(stream: Scenario): Promise<Outcome> {
  let attempts = 0;
  const runners = await Promise.all(
    Array.from({ length: MAX_ATTEMPTS }, () =>
      new ScriptedRunner((socket, request) => {
        const sent = stream.attempts[attempts];
        attempts += 1;
        if (sent) answer(socket, request, stream, sent);
        else socket.destroy();
      }).listen(),
    ),
  );
  const route = { kind: 'streaming', stream_resume: true, max_attempts: MAX_ATTEMPTS };
  const harness = await GatewayHarness.open({ runners, route });
  try {
    const { status, headers, body, isComplete } = await harness.call();
    const isStream = status < FIRST_REDIRECT && headers['content-type'] === 'text/event-stream';
    return { attempts, body: isStream ? body : undefined, isComplete };
  } finally {
    await harness.close();
  }
}

// Guards against joined streams with other bytes, or with an end, than the true one has (ORDER, MIXED).
test('a stream over several runners is always a beginning of the true one, and complete only as a whole', async (t) => {
  t.timeout(120_000);
  let continued = 0;
  let completed = 0;
  const scenarios = fc.array(scenario, { minLength: PARALLEL, maxLength: PARALLEL });
  const property = fc.asyncProperty(scenarios, async (streams) => {
    const outcomes = await Promise.all(streams.map(play));
    for (const [index, stream] of streams.entries()) {
      const { attempts = 0, body, isComplete } = outcomes[index] ?? {};
      if (body === undefined) continue;
      const whole = eventsOf(stream, 1, stream.events);
      const seen = JSON.stringify({ stream, body });
      if (!whole.startsWith(body)) throw new Error(`no beginning of the stream: ${seen}`);
      if (isComplete && body !== whole) throw new Error(`complete without its end: ${seen}`);
      if (attempts > 1 && body !== '') continued += 1;
      if (isComplete) completed += 1;
    }
  });
  await fc.assert(property, { seed: SEED, numRuns: RUNS, endOnFailure: true });
  t.log({ continued, completed });
  t.true(continued > RUNS && completed > RUNS, 'the scenarios are of all kinds');
});
