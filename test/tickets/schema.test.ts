import test from 'ava';
import { InvalidInput } from '@ragwortrudder/core';
import { parseTicket } from '@ragwortrudder/tickets';
import { service } from './parts.ts';

const GOOD = {
  number: 3,
  against: 2,
  author: 'ops',
  services: { quotes: service('v2', { takeoverBy: '2026-12-03T10:00:00Z' }), old: null },
  tenants: { wards: { weight: 2, maxConcurrent: 10, maxQueued: 100 }, gone: null },
  domains: ['brno', 'praha'],
};

function problemsOf(input: unknown): readonly string[] {
  try {
    parseTicket(input);
    return [];
  } catch (error) {
    return error instanceof InvalidInput ? error.problems : [String(error)];
  }
}

test('takes a whole ticket and reads the deadline as milliseconds', (t) => {
  const ticket = parseTicket(GOOD);
  t.is(ticket.services.quotes?.takeoverBy, Date.parse('2026-12-03T10:00:00Z'));
  t.is(ticket.services.old, null);
  t.is(ticket.tenants.gone, null);
});

test('names every problem at once with its path', (t) => {
  const problems = problemsOf({
    ...GOOD,
    against: 3,
    author: '',
    colour: 'red',
    services: { quotes: service('', { speed: 1, kind: 'video' }), 'Not a name': null },
    tenants: { wards: { weight: 0, maxConcurrent: 1.5, maxQueued: -1 } },
  });
  for (const path of [
    'against: ',
    'author: ',
    'services.quotes.version: ',
    'services.quotes.kind: ',
    'services.Not a name: ',
    'tenants.wards.weight: ',
    'tenants.wards.maxConcurrent: ',
    'tenants.wards.maxQueued: ',
  ]) {
    t.true(
      problems.some((problem) => problem.startsWith(path)),
      `${path} in ${problems.join(' | ')}`,
    );
  }
  t.true(problems.some((problem) => problem.includes('"colour"')));
  t.true(problems.some((problem) => problem.includes('"speed"')));
});

test('refuses a ticket that changes nothing, reserved names and other types', (t) => {
  t.is(problemsOf({ number: 1, against: 0, author: 'ops' }).length, 1);
  t.is(problemsOf({ ...GOOD, services: { constructor: null } }).length, 1);
  t.is(problemsOf({ ...GOOD, domains: [] }).length, 1);
  t.is(problemsOf(null).length, 1);
  t.is(
    problemsOf({ ...GOOD, services: { quotes: service('v', { takeoverBy: 'soon' }) } }).length,
    1,
  );
});

test('takes a capacity of whole runners, and keeps services without one unmanaged', (t) => {
  const withCapacity = (capacity: unknown): unknown => ({
    ...GOOD,
    services: { quotes: { ...service('v2'), capacity } },
  });
  const taken = parseTicket(withCapacity({ runners: 0, machineClass: 'gpu-8' }));
  t.deepEqual(taken.services.quotes?.capacity, { runners: 0, machineClass: 'gpu-8' });
  t.is(parseTicket(GOOD).services.quotes?.capacity, undefined);
  for (const capacity of [{}, { runners: -1 }, { runners: 1.5 }, { runners: 1, vms: 2 }, 3]) {
    t.is(problemsOf(withCapacity(capacity)).length, 1, JSON.stringify(capacity));
  }
});
