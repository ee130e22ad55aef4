import test from 'ava';
import fc from 'fast-check';
import { parseBoundedJson } from '@ragwortrudder/core';

const SEED = 32;

function nested(levels: number): Buffer {
  return Buffer.from(`${'[{"a":'.repeat(levels / 2)}1${'}]'.repeat(levels / 2)}`);
}

test('values within the bounds are parsed as the runtime parses them', (t) => {
  fc.assert(
    fc.property(fc.jsonValue({ maxDepth: 10 }), (value) => {
      const text = JSON.stringify(value);
      t.deepEqual(parseBoundedJson(Buffer.from(text)), JSON.parse(text));
    }),
    { seed: SEED, numRuns: 500 },
  );
});

test('bytes that are no JSON, or not UTF-8, are undefined and nothing is thrown', (t) => {
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
      t.notThrows(() => parseBoundedJson(bytes));
    }),
    { seed: SEED, numRuns: 500 },
  );
  t.is(parseBoundedJson(Buffer.from([0x22, 0xff, 0x22])), undefined);
  t.is(parseBoundedJson(new Uint8Array()), undefined);
});

// Guards against: a value that was nested very deeply ended code that walks values recursively.
test('a value that is nested too deeply or too large is undefined', (t) => {
  t.truthy(parseBoundedJson(nested(32)));
  t.is(parseBoundedJson(nested(34)), undefined);
  t.is(parseBoundedJson(nested(60_000)), undefined);
  t.truthy(parseBoundedJson(Buffer.from(JSON.stringify({ text: `"${'[{'.repeat(100)}` }))));
  t.truthy(parseBoundedJson(Buffer.from(JSON.stringify(Array.from({ length: 100 }, () => [[]])))));
  t.is(parseBoundedJson(Buffer.from('"12345"'), { maxBytes: 6 }), undefined);
  t.is(parseBoundedJson(Buffer.from('[[1]]'), { maxDepth: 1 }), undefined);
});
