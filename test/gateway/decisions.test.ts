import { Writable } from 'node:stream';
import test from 'ava';
import { ManualClock } from '@ragwortrudder/core';
import type { AttemptOutcome } from '../../packages/gateway/src/types/attempt-outcome.ts';
import type { ResponseHead } from '../../packages/gateway/src/types/response-head.ts';
import { DecisionLog } from '../../packages/gateway/src/node/decision-log.ts';
import { DemandMeter } from '../../packages/gateway/src/utils/demand-meter.ts';
import { EventSplitter } from '../../packages/gateway/src/utils/event-splitter.ts';
import { isFaultySilence } from '../../packages/gateway/src/utils/is-faulty-silence.ts';
import { silenceOf } from '../../packages/gateway/src/utils/silence-of.ts';
import { incompleteReason } from '../../packages/gateway/src/utils/incomplete-reason.ts';
import { RunnerLoadTracker } from '../../packages/gateway/src/utils/runner-load-tracker.ts';
import { nextStep } from '../../packages/gateway/src/utils/next-step.ts';
import { DisciplinedClock } from '../../packages/gateway/src/utils/disciplined-clock.ts';
import { UsageCounter } from '../../packages/gateway/src/utils/usage-counter.ts';

const BASE = {
  route: { kind: 'idempotent', isResumable: false, maxAttempts: 2 },
  sends: 1,
  unsent: 0,
  mayHaveRun: false,
  hasBegun: false,
  canContinue: true,
  canRetry: true,
  takeBudget: () => true,
} as const;
const BROKEN: AttemptOutcome = { kind: 'broken', reason: 'reset', isConnectionLost: true };
const UNSENT: AttemptOutcome = { kind: 'unsent', failure: 'refused' };
const REFUSED: AttemptOutcome = { kind: 'refused', isMisdirected: false, head: headOf(503) };
const NON_IDEMPOTENT = { kind: 'non-idempotent', isResumable: false, maxAttempts: 2 } as const;
const STREAM = { kind: 'stream', isResumable: false, maxAttempts: 2 } as const;
const RESUMABLE = { kind: 'stream', isResumable: true, maxAttempts: 2 } as const;

function headOf(status: number): ResponseHead {
  return {
    status,
    headers: [],
    contentType: undefined,
    requestId: 'r',
    signature: 's',
    isNotExecuted: false,
    isLeaving: false,
    load: undefined,
    requestsPerSecond: undefined,
    rejectionsPerSecond: undefined,
    retryAfterMs: undefined,
  };
}

function failure(status: number): AttemptOutcome {
  const transfer = {
    framing: 'length',
    bytes: 0,
    connection: 'open',
    partialEventBytes: undefined,
  } as const;
  return { kind: 'answered', response: { head: headOf(status), body: Buffer.alloc(0) }, transfer };
}

test('a request that may have been executed and must not be repeated ends with an unknown outcome', (t) => {
  t.is(nextStep(BROKEN, { ...BASE, route: NON_IDEMPOTENT, mayHaveRun: true }), 'fail');
  t.is(nextStep(BROKEN, { ...BASE, route: STREAM, mayHaveRun: true }), 'fail');
  t.is(nextStep(failure(500), { ...BASE, route: NON_IDEMPOTENT, mayHaveRun: true }), 'answer');
});

// Guards against reporting a delivered answer as broken.
test('only a body that its connection frames depends on how the connection ended', (t) => {
  const transfer = { bytes: 9, partialEventBytes: 0 } as const;
  for (const framing of ['length', 'chunked'] as const) {
    t.is(incompleteReason(true, { ...transfer, framing, connection: 'reset' }), undefined);
    t.truthy(incompleteReason(false, { ...transfer, framing, connection: 'closed' }));
  }
  const framing = 'connection';
  t.is(incompleteReason(true, { ...transfer, framing, connection: 'closed' }), undefined);
  t.truthy(incompleteReason(true, { ...transfer, framing, connection: 'reset' }));
});

// Guards against ending a stream as complete when its runner crashed (ORDER).
test('a body that ends inside an event is incomplete with each framing', (t) => {
  const transfer = { bytes: 9, partialEventBytes: 3, connection: 'open' } as const;
  for (const framing of ['length', 'chunked', 'connection'] as const) {
    t.truthy(incompleteReason(true, { ...transfer, framing }));
  }
});

// Guards against sending events twice.
test('a stream that cannot be continued after its last event is not sent to another runner', (t) => {
  const history = { ...BASE, route: RESUMABLE, mayHaveRun: true, hasBegun: true };
  t.is(nextStep(BROKEN, { ...history, canContinue: false }), 'fail');
});

// Guards against handing an error response to a caller in the middle of a stream.
test('the error of the next runner never ends a stream that has begun', (t) => {
  const history = { ...BASE, route: RESUMABLE, mayHaveRun: true, hasBegun: true, sends: 2 };
  t.is(nextStep(failure(500), history), 'fail');
  t.is(nextStep(failure(404), history), 'fail');
  t.is(nextStep(failure(500), { ...history, sends: 1 }), 'retry');
});

// Guards against requests that fail while another runner is at work on them (LOST).
test('while another attempt is in progress, only a response ends a request', (t) => {
  const history = { ...BASE, hasOther: true, mayHaveRun: true };
  for (const outcome of [BROKEN, REFUSED, UNSENT, failure(500)]) {
    t.is(nextStep(outcome, history), 'wait');
  }
  t.is(nextStep(failure(404), { ...history, hasBegun: true }), 'wait');
  t.is(nextStep(failure(404), history), 'answer');
  t.is(nextStep(failure(200), history), 'answer');
});

const SILENT = {
  route: { maxGapMs: 400, latencyTargetMs: 1_000 },
  hasFirstEvent: false,
  silentMs: 0,
  runnerSilentMs: 0,
  isLinkSilent: false,
} as const;

// Guards against sound runners that are blamed for a silence of a second or so.
test('only a silence that no sound runner keeps is held against its runner', (t) => {
  const short = silenceOf({ ...SILENT, silentMs: 1_500, runnerSilentMs: 1_500 });
  t.is(short, 'runner');
  t.false(isFaultySilence(short));
  const long = silenceOf({ ...SILENT, silentMs: 3_750, runnerSilentMs: 3_750 });
  t.is(long, 'runner-for-long');
  t.true(isFaultySilence(long));
  t.is(silenceOf({ ...SILENT, silentMs: 3_749, runnerSilentMs: 10 }), 'none');
  t.is(silenceOf({ ...SILENT, silentMs: 3_750, runnerSilentMs: 10 }), 'connection');
});

test('a stream is judged by its gaps once it has events, and sooner when its link is lost', (t) => {
  const silences = { silentMs: 1_200, runnerSilentMs: 1_200 };
  t.is(silenceOf({ ...SILENT, ...silences }), 'none');
  t.is(silenceOf({ ...SILENT, ...silences, hasFirstEvent: true }), 'runner');
  t.is(silenceOf({ ...SILENT, ...silences, isLinkSilent: true }), 'link');
  t.is(silenceOf({ ...SILENT, silentMs: 1_200, runnerSilentMs: 10, isLinkSilent: true }), 'none');
});

test('a repeatable request is retried within its attempts, time and budget', (t) => {
  t.is(nextStep(BROKEN, { ...BASE, mayHaveRun: true }), 'retry');
  t.is(nextStep(BROKEN, { ...BASE, route: RESUMABLE, hasBegun: true }), 'retry');
  t.is(nextStep(failure(500), BASE), 'retry');
  t.is(nextStep(BROKEN, { ...BASE, sends: 2, mayHaveRun: true }), 'fail');
  t.is(nextStep(BROKEN, { ...BASE, canRetry: false, mayHaveRun: true }), 'fail');
  t.is(nextStep(BROKEN, { ...BASE, takeBudget: () => false, mayHaveRun: true }), 'fail');
  t.is(nextStep(failure(500), { ...BASE, takeBudget: () => false }), 'answer');
});

test('a request is refused only if it was not executed', (t) => {
  t.is(nextStep(REFUSED, { ...BASE, route: NON_IDEMPOTENT }), 'retry');
  t.is(nextStep(REFUSED, { ...BASE, route: NON_IDEMPOTENT, sends: 2 }), 'refuse');
  t.is(nextStep(REFUSED, { ...BASE, sends: 2, mayHaveRun: true }), 'fail');
  t.is(nextStep(UNSENT, { ...BASE, sends: 0, unsent: 1 }), 'retry');
  t.is(nextStep(UNSENT, { ...BASE, sends: 0, unsent: 3 }), 'refuse');
  t.is(nextStep(UNSENT, { ...BASE, mayHaveRun: true, unsent: 3 }), 'fail');
});

// Guards against giving up after refused connections while open ones serve.
test('a request goes on over an open connection after many that could not be opened', (t) => {
  t.is(nextStep(UNSENT, { ...BASE, mayHaveRun: true, unsent: 3, hasOpen: true }), 'retry');
  t.is(nextStep(UNSENT, { ...BASE, sends: 2, unsent: 1, hasOpen: true }), 'refuse');
});

test('only complete events are forwarded, wherever the chunk boundaries are', (t) => {
  const text = 'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid:3\ndata: c\n\nid: 4\nda';
  for (let cut = 1; cut < text.length; cut += 1) {
    const splitter = new EventSplitter();
    const parts = [
      splitter.push(Buffer.from(text.slice(0, cut))),
      splitter.push(Buffer.from(text.slice(cut))),
    ];
    t.is(Buffer.concat(parts).toString(), text.slice(0, -'id: 4\nda'.length), `cut at ${cut}`);
    t.is(splitter.lastId, '3', `cut at ${cut}`);
    t.is(splitter.remainder.toString(), 'id: 4\nda');
  }
});

// Guards against holding back a stream whose lines end with CR.
test('events are recognized with each line end of the event stream format', (t) => {
  for (const [name, lineEnd] of Object.entries({ LF: '\n', CR: '\r', CRLF: '\r\n' })) {
    const whole = ['id: 1', 'data: a', '', 'id: 2', 'data: b', '', ''].join(lineEnd);
    const text = ['id: 3', 'da'].join(lineEnd);
    for (let cut = 1; cut < whole.length; cut += 1) {
      const splitter = new EventSplitter();
      const parts = [whole.slice(0, cut), whole.slice(cut) + text].map((part) =>
        splitter.push(Buffer.from(part)),
      );
      t.is(Buffer.concat(parts).toString(), whole, `${name}, cut at ${cut}`);
      t.is(splitter.lastId, '2', `${name}, cut at ${cut}`);
      t.is(splitter.partialEventBytes, text.length, `${name}, cut at ${cut}`);
    }
  }
});

// Guards against taking comments between events for a part of one.
test('comments and line ends after the last event are not part of an event', (t) => {
  for (const rest of ['', '\n', ': bye\n', '\r\n: bye\r\n']) {
    const splitter = new EventSplitter();
    splitter.push(Buffer.from(`id: 1\ndata: a\n\n${rest}`));
    t.is(splitter.partialEventBytes, 0, JSON.stringify(rest));
  }
  for (const rest of ['d', ': by', 'data: b\n', ': bye\nid: 2\n']) {
    const splitter = new EventSplitter();
    splitter.push(Buffer.from(`id: 1\ndata: a\n\n${rest}`));
    t.is(splitter.partialEventBytes, rest.length, JSON.stringify(rest));
  }
});

// Guards against resuming after the wrong event.
test('the last event id follows the event stream format', (t) => {
  const idAfter = (text: string): string | undefined => {
    const splitter = new EventSplitter();
    splitter.push(Buffer.from(text));
    return splitter.lastId;
  };
  t.is(idAfter('\uFEFFid: 1\ndata: a\n\n'), '1', 'byte order mark');
  t.is(idAfter('id:  1\n\n'), ' 1', 'only one space is dropped');
  t.is(idAfter('id: 1\n\ndata: b\n\n'), '1', 'an event without an id');
  t.is(idAfter('id: 1\n\nid: 2\0\n\n'), '1', 'an id with NUL');
  t.is(idAfter('id: 1\n\nid\n\n'), undefined, 'an empty id');
  t.is(idAfter('id: 1\n\nidx: 2\n: id: 3\n\n'), '1', 'other fields and comments');
  t.is(idAfter('id: 1\n\nid: 2\ndata: b'), '1', 'an incomplete event');
});

test('work at a runner is the sum of the node’s own and the recently reported work of peers', (t) => {
  const clock = new ManualClock();
  const loadTracker = new RunnerLoadTracker(clock);
  const work = { requests: 1, prefillTokens: 100, kvTokens: 200 };
  loadTracker.add('r1', work);
  loadTracker.setPeerWork(
    'p1',
    new Map([['r1', { requests: 2, prefillTokens: 50, kvTokens: 70 }]]),
    2_000,
  );
  t.deepEqual(loadTracker.workAt('r1'), { requests: 3, prefillTokens: 150, kvTokens: 270 });
  loadTracker.setReportedLoad('r1', { running: 9, waiting: 1, slots: 8 });
  t.is(loadTracker.workAt('r1').requests, 10);
  clock.advance(2_100);
  t.deepEqual(loadTracker.workAt('r1'), work);
  loadTracker.add('r1', { requests: -1, prefillTokens: -100, kvTokens: -200 });
  t.is(loadTracker.own.size, 0);
});

test('usage is summed over all node incarnations, and each count replaces the previous one', (t) => {
  const usage = new UsageCounter(5_000);
  usage.recordStart('a', 12_000);
  usage.recordStart('a', 14_999);
  usage.recordStart('b', 15_000);
  usage.mergePeerCounts('p1 1', new Map([[2, new Map([['a', 3]])]]));
  usage.mergePeerCounts('p1 1', new Map([[2, new Map([['a', 5]])]]));
  usage.mergePeerCounts('p1 2', new Map([[2, new Map([['b', 1]])]]));
  t.deepEqual(usage.reportOf(2), { window: 2, counts: { a: 7, b: 1 } });
  t.deepEqual(usage.reportOf(3), { window: 3, counts: { b: 1 } });
});

test('the disciplined clock does not follow a step of the wall clock', (t) => {
  let wall = 1_000_000;
  let steady = 0;
  const time = new DisciplinedClock({ wall: () => wall, monotonic: () => steady });
  steady += 500;
  wall += 500 + 2_400;
  t.is(time.now(), 1_000_500);
});

test('after a suspension, the disciplined clock follows the median of its peers', (t) => {
  let steady = 0;
  const time = new DisciplinedClock({ wall: () => 1_000_000, monotonic: () => steady });
  steady += 100;
  time.addPeerTime('p1', 1_003_100);
  t.is(time.now(), 1_000_100);
  time.addPeerTime('p2', 1_003_105);
  t.true(time.now() >= 1_003_100);
});

test('demand per second covers all nodes over the last seconds', (t) => {
  const clock = new ManualClock();
  const meter = new DemandMeter(clock);
  meter.setTotal('p1', 's', { requests: 1_000, promptTokens: 0, outputTokens: 0 });
  for (let step = 0; step < 40; step += 1) {
    clock.advance(100);
    meter.add('s', { requests: 1, promptTokens: 50, outputTokens: 5 });
    meter.setTotal('p1', 's', { requests: 1_001 + step, promptTokens: 0, outputTokens: 0 });
  }
  const { requests, promptTokens } = meter.perSecond('s');
  t.true(Math.abs(requests - 20) < 2, `${requests}`);
  t.true(Math.abs(promptTokens - 500) < 50);
  clock.advance(10_000);
  t.is(meter.perSecond('s').requests, 0);
});

test('pattern: flood of refusals while the log reader has stopped; lines are dropped and counted without blocking', (t) => {
  const clock = new ManualClock(1_000_000);
  const written: string[] = [];
  let isStopped = true;
  const out = new Writable({
    highWaterMark: 1,
    write(chunk: Buffer, _encoding, done) {
      written.push(chunk.toString());
      if (!isStopped) done();
    },
  });
  const log = new DecisionLog({ node: 'n', out, clock });
  for (let index = 0; index < 50_000; index += 1) {
    log.notable('request-refused', { request: String(index) });
    if (index % 1_000 === 0) clock.advance(1_000);
  }
  t.true(log.dropped > 40_000);
  t.true(out.writableLength < 1024 * 1024);
  isStopped = false;
  t.is(written.length, 1);
});

test('lines about served requests are dropped before lines about failures', (t) => {
  const clock = new ManualClock(5_000);
  const lines: string[] = [];
  const out = new Writable({
    write(chunk: Buffer, _encoding, done) {
      lines.push(chunk.toString());
      done();
    },
  });
  const log = new DecisionLog({ node: 'n', out, clock });
  for (let index = 0; index < 500; index += 1) log.routine('request-served', { index });
  log.notable('request-refused', { request: 'x' });
  t.true(lines.some((line) => line.includes('"request-refused"')));
  t.true(lines.some((line) => line.includes('"lines-dropped"')));
});

test('pattern: long prompts from many nodes; an announced prompt counts until its prefill is over or the peer reports', (t) => {
  const clock = new ManualClock();
  const loadTracker = new RunnerLoadTracker(clock);
  loadTracker.addAnnouncedPrompt('p', 'r1', 20_000);
  loadTracker.addAnnouncedPrompt('q', 'r1', 10_000);
  t.is(loadTracker.workAt('r1').prefillTokens, 30_000);
  loadTracker.setPeerWork(
    'p',
    new Map([['r1', { requests: 1, prefillTokens: 5_000, kvTokens: 20_000 }]]),
    2_000,
  );
  t.is(loadTracker.workAt('r1').prefillTokens, 15_000);
  clock.advance(1_000);
  t.is(loadTracker.workAt('r1').prefillTokens, 5_000);
});
