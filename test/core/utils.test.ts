import test from 'ava';
import { SeededRandom, canonicalJson, digest } from '@ragwortrudder/core';

test('canonical JSON does not depend on key order', (t) => {
  t.is(canonicalJson({ b: 1, a: [{ d: 1, c: 2 }] }), canonicalJson({ a: [{ c: 2, d: 1 }], b: 1 }));
  t.not(digest({ a: 1 }), digest({ a: 2 }));
});

test('SeededRandom repeats its sequence for the same seed', (t) => {
  const a = new SeededRandom(7);
  const b = new SeededRandom(7);
  const first = Array.from({ length: 5 }, () => a.next());
  t.deepEqual(
    first,
    Array.from({ length: 5 }, () => b.next()),
  );
  t.true(first.every((value) => value >= 0 && value < 1));
});

test('adjacent seeds give unrelated first numbers', (t) => {
  const buckets = new Set(
    Array.from({ length: 8 }, (_, seed) => Math.floor(new SeededRandom(seed).next() * 4)),
  );
  t.true(buckets.size >= 3);
});
