import test from 'ava';
import { HashRing } from '../../packages/node/src/utils/hash-ring.ts';

const COUNT = 8;
const options = { nameOf: (name: string) => name, count: COUNT };
const names = Array.from({ length: 330 }, (_, index) => `entry-${index}`);
const domainOf = (name: string): number => Number(name.split('-')[1]) % 6;

test('all items are successors when there are no more than requested', (t) => {
  t.deepEqual(new HashRing().successors('a', ['c', 'b'], options), ['c', 'b']);
});

test('successors are distinct, wrap around the ring, and change only for a removed item', (t) => {
  const ring = new HashRing();
  for (const name of names) {
    const others = names.filter((other) => other !== name);
    const chosen = ring.successors(name, others, options);
    t.is(new Set(chosen).size, COUNT);
    t.deepEqual(ring.successors(name, [...others].reverse(), options), chosen);
    const remaining = others.filter((other) => other !== chosen[3]);
    const next = ring.successors(name, remaining, options);
    t.deepEqual(
      next.filter((other) => chosen.includes(other)),
      chosen.filter((other) => other !== chosen[3]),
    );
  }
});

test('nodes are chosen as holders about equally often by the nodes of other failure domains', (t) => {
  const ring = new HashRing();
  const countsByHolder = new Map<string, number>();
  for (const name of names) {
    const others = names.filter((other) => domainOf(other) !== domainOf(name));
    for (const holder of ring.successors(name, others, options))
      countsByHolder.set(holder, (countsByHolder.get(holder) ?? 0) + 1);
  }
  const counts = names.map((name) => countsByHolder.get(name) ?? 0);
  t.log(`least ${Math.min(...counts)}, most ${Math.max(...counts)}`);
  t.true(Math.min(...counts) >= COUNT / 4);
  t.true(Math.max(...counts) <= COUNT * 2);
});
