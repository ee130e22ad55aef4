import test from 'ava';
import type { TermView } from '../../packages/gateway/src/types/term-view.ts';
import { TermVacancy } from '../../packages/gateway/src/utils/term-vacancy.ts';

const LEASE_MS = 3_000;

function viewAt(offset: number, holder: string | undefined, token = 7, era = 0): TermView {
  return { position: { offset, era }, holder, token, entry: undefined };
}

function createVacancy(): TermVacancy {
  return new TermVacancy({ node: 'n1', leaseMs: LEASE_MS });
}

test('the term of another node is vacant once the topic has not moved for a lease', (t) => {
  const vacancy = createVacancy();
  t.is(vacancy.remainingMs(0, undefined), LEASE_MS);
  vacancy.observe(viewAt(5, 'n2'), 100);
  t.is(vacancy.remainingMs(1_100, undefined), 2_000);
  t.true(vacancy.observe(viewAt(6, 'n2'), 1_100));
  t.is(vacancy.remainingMs(3_100, undefined), 1_000);
  t.false(vacancy.observe(viewAt(6, 'n2'), 4_100));
  t.true(vacancy.remainingMs(4_100, undefined) <= 0);
});

test('a topic at the same offset of another era has moved', (t) => {
  const vacancy = createVacancy();
  vacancy.observe(viewAt(5, 'n2'), 0);
  t.true(vacancy.observe(viewAt(5, 'n2', 7, 1), 2_900));
  t.is(vacancy.remainingMs(3_000, undefined), 2_900);
});

test('no lease is awaited for a resigned holder, an own term, or the first term', (t) => {
  const resigned = createVacancy();
  resigned.observe(viewAt(5, 'n2', 7), 100);
  t.true(resigned.remainingMs(100, 7) <= 0);
  t.true(resigned.remainingMs(100, 6) > 0);
  const own = createVacancy();
  own.observe(viewAt(5, 'n1'), 100);
  t.true(own.remainingMs(100, undefined) <= 0);
  const first = createVacancy();
  first.observe(viewAt(0, undefined, 0), 100);
  t.true(first.remainingMs(100, undefined) > 0);
  t.true(first.remainingMs(1_100, undefined) <= 0);
});

test('a node that held the term waits for a lease after its last action, also for a resigned holder', (t) => {
  const vacancy = createVacancy();
  vacancy.recordHeld(1_000);
  vacancy.observe(viewAt(5, 'n2', 7), 1_500);
  t.is(vacancy.remainingMs(2_000, 7), 2_000);
  t.true(vacancy.remainingMs(4_000, 7) <= 0);
});
