import test from 'ava';
import fc from 'fast-check';
import { EventSequence } from '../../packages/gateway/src/utils/event-sequence.ts';
import { EventSplitter } from '../../packages/gateway/src/utils/event-splitter.ts';

interface Split {
  readonly sent: string;
  readonly fault: string | undefined;
  readonly lastId: string | undefined;
}

const SEED = 32;
const RUNS = 2_000;
const BEFORE = 'event of the stream has come before';

/** Sequence of a stream that has brought these ids, and goes on at another runner. */
function continuing(...ids: readonly string[]): EventSequence {
  const sequence = new EventSequence();
  for (const id of ids) sequence.add({ id, hasData: true });
  sequence.continueElsewhere();
  return sequence;
}

function faultOf(ids: readonly string[], next: string | undefined): string | undefined {
  return continuing(...ids).add({ id: next, hasData: true });
}

function split(sequence: EventSequence, parts: readonly Buffer[]): Split {
  const splitter = new EventSplitter(sequence);
  const sent = Buffer.concat(parts.map((part) => splitter.push(part)));
  return { sent: sent.toString(), fault: splitter.fault, lastId: splitter.lastId };
}

// Guards against pieces of two runs in one stream (ORDER).
test('a continuation must follow the ids that were sent', (t) => {
  t.is(faultOf(['1', '2'], '3'), undefined);
  t.is(faultOf(['1', '2'], '2'), BEFORE);
  t.is(faultOf(['9', '10'], '9'), BEFORE);
  t.is(faultOf(['9', '10'], '009'), BEFORE, 'leading zeros');
  t.is(faultOf(['1', '2'], '4'), 'event of the stream follows a missing one');
  t.is(faultOf(['1', '3'], '7'), undefined, 'ids with other steps');
  t.is(faultOf(['1'], '7'), undefined, 'no step is known');
  t.is(faultOf(['b', 'a'], 'b'), BEFORE);
  t.is(faultOf(['b', 'a'], 'c'), undefined);
  t.is(faultOf(['1', 'a'], '1'), BEFORE, 'ids of both kinds');
  t.is(faultOf(['1', '2'], undefined), 'event of the stream has no id');
});

// Guards against a restart that is no longer known because the stream was long (ORDER).
test('the first id of a long stream of opaque ids is remembered, and the last ones', (t) => {
  const ids = Array.from({ length: 1_000 }, (_item, index) => `e-${index}`);
  t.is(faultOf(ids, 'e-0'), BEFORE);
  t.is(faultOf(ids, 'e-900'), BEFORE);
  t.is(faultOf(ids, 'e-1000'), undefined);
});

// Guards against decisions that depend on how the bytes arrive.
test('what is sent of a stream, and why it ends, does not depend on the chunk boundaries', (t) => {
  const line = fc.constantFrom(
    'id: 1',
    'id: 2',
    'id: 3',
    'id',
    'id: x',
    'data: a',
    'data',
    ': b',
    'retry: 1',
    'HTTP/1.1 503 Busy',
    'Content-Length: 4',
    '',
    '',
    '',
  );
  const lineEnd = fc.constantFrom('\n', '\r', '\r\n');
  const lines = fc.array(fc.tuple(line, lineEnd), { maxLength: 20 });
  const cuts = fc.array(fc.nat({ max: 200 }), { maxLength: 6 });
  const property = fc.property(lines, cuts, fc.boolean(), (texts, positions, isContinued) => {
    const bytes = Buffer.from(texts.map((parts) => parts.join('')).join(''));
    const sequence = (): EventSequence =>
      isContinued ? continuing('1', 'x') : new EventSequence();
    const bounds = [0, ...positions.filter((at) => at < bytes.length), bytes.length];
    bounds.sort((one, other) => one - other);
    const parts = bounds.slice(1).map((end, index) => bytes.subarray(bounds[index], end));
    const whole = split(sequence(), [bytes]);
    t.deepEqual(split(sequence(), parts), whole);
    t.true(bytes.toString().startsWith(whole.sent));
    t.false(/HTTP|Content-Length/.test(whole.sent));
  });
  fc.assert(property, { seed: SEED, numRuns: RUNS });
});
