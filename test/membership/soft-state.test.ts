import test from 'ava';
import fc from 'fast-check';
import { SoftState } from '@ragwortrudder/membership';
import type { SoftStateEntry } from '@ragwortrudder/membership';

const entry: fc.Arbitrary<SoftStateEntry> = fc
  .record({
    nodeId: fc.constantFrom('a', 'b', 'c'),
    incarnation: fc.nat(3),
    version: fc.nat(3),
  })
  .map((key) => ({ ...key, value: `${key.nodeId}${key.incarnation}${key.version}` }));
const entries = fc.array(entry, { maxLength: 12 });

function mergedEntries(...parts: readonly (readonly SoftStateEntry[])[]): readonly unknown[] {
  const state = new SoftState<string>({
    origin: { nodeId: 'self', number: 1 },
    isValid: (value): value is string => typeof value === 'string',
  });
  for (const part of parts) state.merge(part);
  return [...state.entries].sort((a, b) => (a.nodeId < b.nodeId ? -1 : 1));
}

test('merging reports is commutative, associative and idempotent', (t) => {
  fc.assert(
    fc.property(entries, entries, entries, (a, b, c) => {
      t.deepEqual(mergedEntries(a, b, c), mergedEntries(c, b, a));
      t.deepEqual(mergedEntries(a, b, a, b), mergedEntries(a, b));
      t.deepEqual(
        mergedEntries(mergedEntries(a, b) as readonly SoftStateEntry[], c),
        mergedEntries(a, mergedEntries(b, c) as readonly SoftStateEntry[]),
      );
    }),
    { seed: 11, numRuns: 300 },
  );
});

test('a value that fails validation is dropped and counted', (t) => {
  const state = new SoftState<number>({
    origin: { nodeId: 'self', number: 1 },
    isValid: (value): value is number => typeof value === 'number',
  });
  state.merge([{ nodeId: 'a', incarnation: 1, version: 1, value: 'x' }]);
  t.is(state.rejected, 1);
  t.deepEqual(state.entries, []);
});
