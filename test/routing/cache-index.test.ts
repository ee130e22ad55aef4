import { createHash } from 'node:crypto';
import test from 'ava';
import fc from 'fast-check';
import { CacheDirectory, CacheIndex, prefixBlocks } from '@ragwortrudder/routing';
import type { CacheEvent } from '@ragwortrudder/routing';

const WORDS = Array.from({ length: 50 }, (_, i) => `w${i}`);

test('a block hash covers the text up to and including the block', (t) => {
  const blocks = prefixBlocks(`  ${WORDS.join(' \n ')} `);
  t.is(blocks.length, 3);
  for (const [index, name] of blocks.entries()) {
    const text = WORDS.slice(0, 16 * (index + 1)).join(' ');
    t.is(name, createHash('sha256').update(text).digest('hex').slice(0, 16));
  }
  t.deepEqual(prefixBlocks(''), []);
});

test('a gap in the events clears the hints until a snapshot is restored', (t) => {
  const [a = '', b = '', c = ''] = prefixBlocks(WORDS.join(' '));
  const index = new CacheIndex();
  t.true(index.apply([stored(1, a), stored(2, b)], 0));
  t.is(index.knownTokens([a, b, c]), 32);
  t.false(index.apply([stored(4, c)], 0));
  t.true(index.needsSnapshot);
  t.is(index.knownTokens([a, b, c]), 0);
  t.false(index.apply([stored(5, a)], 0));
  index.restore({ seq: 6, prefixes: [a] });
  t.false(index.needsSnapshot);
  t.true(index.apply([stored(6, c), stored(7, b)], 0));
  t.is(index.knownTokens([a, b, c]), 32);
  index.restore({ seq: 3, prefixes: [] });
  t.is(index.knownTokens([a, b, c]), 32, 'a snapshot older than the applied events is ignored');
});

test('an entry from an own request survives an eviction event that may predate the request', (t) => {
  const blocks = prefixBlocks(WORDS.join(' '));
  const [a = ''] = blocks;
  const index = new CacheIndex();
  index.recordSent(blocks, 10_000);
  index.apply([{ seq: 1, kind: 'evicted', prefix: a }], 11_000);
  t.is(index.knownTokens([a]), 16);
  index.apply([{ seq: 2, kind: 'evicted', prefix: a }], 20_000);
  t.is(index.knownTokens([a]), 0);
});

test('confidence follows the reuse that the engine reports', (t) => {
  const blocks = prefixBlocks(WORDS.join(' '));
  const index = new CacheIndex();
  index.recordSent(blocks, 0);
  for (let i = 0; i < 30; i += 1) index.recordReuse(48, 0);
  t.true(index.cachedTokens(blocks) < 5);
  for (let i = 0; i < 30; i += 1) index.recordReuse(48, 48);
  t.true(index.cachedTokens(blocks) > 45);
  index.recordReuse(0, 0);
  t.true(index.confidence <= 1);
});

test('the index is bounded and keeps the start of a chain longest', (t) => {
  const long = prefixBlocks(Array.from({ length: 16 * 20 }, (_, i) => `x${i}`).join(' '));
  const index = new CacheIndex({ maxSent: 8 });
  index.recordSent(long, 0);
  t.is(index.knownTokens(long), 8 * 16);
});

test('property: when events are lost, the hints match the complete event log after each applied event', (t) => {
  const events = fc.array(
    fc.record({
      kind: fc.constantFrom<CacheEvent['kind']>('stored', 'evicted'),
      prefix: fc.constantFrom('p', 'q', 'r'),
      isLost: fc.boolean(),
    }),
    { maxLength: 30 },
  );
  fc.assert(
    fc.property(events, (generated) => {
      const expected = new Set<string>();
      const index = new CacheIndex();
      return generated.every(({ kind, prefix, isLost }, i) => {
        if (kind === 'stored') expected.add(prefix);
        else expected.delete(prefix);
        const seq = i + 1;
        if (isLost) return true;
        const isSynced = index.apply([{ seq, kind, prefix }], 0);
        if (!isSynced) index.restore({ seq, prefixes: [...expected] });
        return ['p', 'q', 'r'].every(
          (name) => expected.has(name) === index.knownTokens([name]) > 0,
        );
      });
    }),
    { seed: 8, numRuns: 300 },
  );
  t.pass();
});

test('the directory lists the runners with the longest cached prefix first', (t) => {
  const blocks = prefixBlocks(WORDS.join(' '));
  const directory = new CacheDirectory();
  for (const [id, depth] of [
    ['1', 1],
    ['2', 3],
    ['3', 0],
  ] as const) {
    const index = new CacheIndex();
    index.recordSent(blocks.slice(0, depth), 0);
    directory.set(id, index);
  }
  t.deepEqual(
    directory.holders(blocks, 5).map((holder) => [holder.runnerId, holder.cachedTokens]),
    [
      ['2', 48],
      ['1', 16],
    ],
  );
  directory.delete('2');
  t.is(directory.cachedTokens('2', blocks), 0);
});

function stored(seq: number, prefix: string): CacheEvent {
  return { seq, kind: 'stored', prefix };
}
