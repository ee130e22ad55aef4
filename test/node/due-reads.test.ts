import test from 'ava';
import { dueReads } from '../../packages/node/src/utils/due-reads.ts';

interface Item {
  readonly name: string;
  readonly readAt: number;
  readonly periodMs: number;
}

function namesOf(items: readonly Item[], now: number, limit: number): readonly string[] {
  return dueReads({ items, readingOf: (item) => item, now, limit }).map(({ name }) => name);
}

test('only due items are returned, those read longest ago first, up to the limit', (t) => {
  const items = [
    { name: 'recent', readAt: 950, periodMs: 100 },
    { name: 'idle', readAt: 500, periodMs: 800 },
    { name: 'due', readAt: 900, periodMs: 100 },
    { name: 'late', readAt: 300, periodMs: 100 },
    { name: 'never', readAt: -Infinity, periodMs: 800 },
  ];
  t.deepEqual(namesOf(items, 1000, 10), ['never', 'late', 'due']);
  t.deepEqual(namesOf(items, 1000, 2), ['never', 'late']);
});

test('every item is read in turn under a limited rate of reads', (t) => {
  let items: readonly Item[] = Array.from({ length: 7 }, (_, index) => ({
    name: String(index),
    readAt: -Infinity,
    periodMs: 100,
  }));
  const seen = new Set<string>();
  for (let now = 0; now < 400; now += 100) {
    const due = new Set(namesOf(items, now, 2));
    for (const name of due) seen.add(name);
    items = items.map((item) => (due.has(item.name) ? { ...item, readAt: now } : item));
  }
  t.is(seen.size, 7);
});
