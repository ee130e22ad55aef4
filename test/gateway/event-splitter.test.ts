import test from 'ava';
import fc from 'fast-check';
import { EventSplitter } from '../../packages/gateway/src/utils/event-splitter.ts';

const SEED = 733793153;
const RUNS = 1_000;

// Guards against bytes that are lost, doubled or overwritten where events arrive in small pieces.
test('events are returned whole and unchanged, however they are split', (t) => {
  const line = fc.constantFrom('data: x', 'id: 7', ': note', '', 'data: y', 'event: z');
  const end = fc.constantFrom('\n', '\r', '\r\n');
  const text = fc
    .array(fc.tuple(line, end).map((parts) => parts.join('')))
    .map((lines) => lines.join(''));
  fc.assert(
    fc.property(
      text,
      fc.array(fc.integer({ min: 1, max: 9 }), { minLength: 1 }),
      (stream, sizes) => {
        const whole = new EventSplitter();
        const expected = whole.push(Buffer.from(stream)).toString();
        const splitter = new EventSplitter();
        const sent: Buffer[] = [];
        let at = 0;
        for (let index = 0; at < stream.length; index += 1) {
          const size = sizes[index % sizes.length] ?? 1;
          sent.push(splitter.push(Buffer.from(stream.slice(at, at + size))));
          at += size;
        }
        // What was returned stays as it was while later pieces arrive.
        const received = Buffer.concat(sent).toString();
        // Nothing is returned or kept of what follows a fault, such as an id that comes again.
        if (whole.fault !== undefined) {
          return received === expected && splitter.fault === whole.fault;
        }
        return (
          received + splitter.remainder.toString() === stream &&
          received === expected &&
          splitter.eventCount === whole.eventCount &&
          splitter.partialEventBytes === whole.partialEventBytes
        );
      },
    ),
    { seed: SEED, numRuns: RUNS },
  );
  t.pass();
});

// Guards against memory, or work, that grows with the number of pieces.
test('an event in pieces of one byte holds at most twice its bytes', (t) => {
  const splitter = new EventSplitter();
  const piece = Buffer.from('x');
  const size = 1024 * 1024;
  for (let index = 0; index < size; index += 1) splitter.push(piece);
  t.is(splitter.remainder.length, size);
  t.true(splitter.heldBytes <= 2 * size);
});
