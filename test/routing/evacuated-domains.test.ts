import test from 'ava';
import { ManualClock } from '@ragwortrudder/core';
import { EvacuatedDomains } from '@ragwortrudder/routing';

const REWRITE_MS = 5_000;
const MAX_DOMAINS = 64;

function read(
  ordered: readonly string[],
  {
    unreadable = [],
    isRestored = false,
  }: Partial<Parameters<EvacuatedDomains['replaceAll']>[0]> = {},
): Parameters<EvacuatedDomains['replaceAll']>[0] {
  return { ordered, unreadable, isRestored };
}

test('a record begins an evacuation and its removal ends it', (t) => {
  const domains = new EvacuatedDomains(new ManualClock());
  t.true(domains.isEmpty);
  t.true(domains.begin('a'));
  t.true(domains.begin('a'));
  t.true(domains.has('a'));
  t.false(domains.has('b'));
  t.true(domains.end('a'));
  t.false(domains.end('a'));
  t.true(domains.isEmpty);
});

// Guards against an evacuation that outlasts its record because the removal was not read as a record (EVACUATION).
test('a snapshot without the record ends the evacuation at once', (t) => {
  const domains = new EvacuatedDomains(new ManualClock());
  t.deepEqual(domains.replaceAll(read(['a', 'b'])).begun, ['a', 'b']);
  const change = domains.replaceAll(read(['b', 'c']));
  t.deepEqual(change, { begun: ['c'], ended: ['a'], unconfirmed: [], excess: [] });
  t.deepEqual(domains.names, ['b', 'c']);
});

// Guards against requests to an evacuated domain while the operator writes its records again (EVACUATION).
test('a restored log that lacks the record ends the evacuation only after the time for writing it again', (t) => {
  const clock = new ManualClock();
  const domains = new EvacuatedDomains(clock);
  domains.begin('a');
  t.deepEqual(domains.replaceAll(read([], { isRestored: true })).unconfirmed, ['a']);
  t.deepEqual(domains.confirm(), []);
  clock.advance(REWRITE_MS - 1);
  t.deepEqual(domains.confirm(), []);
  t.true(domains.has('a'));
  clock.advance(1);
  t.true(domains.has('a'), 'no read has shown yet that the record is missing');
  t.deepEqual(domains.confirm(), ['a']);
  t.true(domains.isEmpty);
});

test('a record that is written again after a restore keeps the evacuation in force', (t) => {
  const clock = new ManualClock();
  const domains = new EvacuatedDomains(clock);
  domains.begin('a');
  domains.replaceAll(read([], { isRestored: true }));
  domains.begin('a');
  clock.advance(2 * REWRITE_MS);
  t.deepEqual(domains.confirm(), []);
  t.true(domains.has('a'));
});

// Guards against an evacuation that ends early because a second snapshot follows the restore (EVACUATION).
test('a second snapshot within the time for writing again does not end the evacuation', (t) => {
  const clock = new ManualClock();
  const domains = new EvacuatedDomains(clock);
  domains.begin('a');
  domains.replaceAll(read([], { isRestored: true }));
  clock.advance(REWRITE_MS / 2);
  t.deepEqual(domains.replaceAll(read([])).ended, []);
  clock.advance(REWRITE_MS / 2);
  t.deepEqual(domains.confirm(), ['a']);
});

test('a removal that is read after a restore ends the evacuation at once', (t) => {
  const domains = new EvacuatedDomains(new ManualClock());
  domains.begin('a');
  domains.replaceAll(read([], { isRestored: true }));
  t.true(domains.end('a'));
  t.deepEqual(domains.confirm(), []);
});

test('an unreadable record neither begins nor ends an evacuation', (t) => {
  const domains = new EvacuatedDomains(new ManualClock());
  domains.begin('a');
  const change = domains.replaceAll(read([], { unreadable: ['a', 'b'] }));
  t.deepEqual(change, { begun: [], ended: [], unconfirmed: [], excess: [] });
  t.deepEqual(domains.names, ['a']);
});

test('domains beyond the maximum are not evacuated until others end', (t) => {
  const domains = new EvacuatedDomains(new ManualClock());
  const names = Array.from({ length: MAX_DOMAINS + 2 }, (_, index) => `d${index}`);
  const { begun, excess } = domains.replaceAll(read(names));
  t.is(begun.length, MAX_DOMAINS);
  t.deepEqual(excess, [`d${MAX_DOMAINS}`, `d${MAX_DOMAINS + 1}`]);
  t.false(domains.begin('other'));
  t.true(domains.begin('d0'));
  domains.end('d0');
  t.true(domains.begin('other'));
});
