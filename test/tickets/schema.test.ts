import test from 'ava';
import { InvalidInput } from '@ragwortrudder/core';
import { parseTicket } from '@ragwortrudder/tickets';
import { serviceConfig } from './helpers.ts';

const GOOD = {
  number: 3,
  against: 2,
  author: 'ops',
  services: { quotes: serviceConfig('v2', { takeoverBy: '2026-12-03T10:00:00Z' }), old: null },
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

test('accepts a complete ticket and parses its deadline to milliseconds', (t) => {
  const ticket = parseTicket(GOOD);
  t.is(ticket.services.quotes?.takeoverBy, Date.parse('2026-12-03T10:00:00Z'));
  t.is(ticket.services.old, null);
  t.is(ticket.tenants.gone, null);
});

test('reports every problem at once with its path', (t) => {
  const problems = problemsOf({
    ...GOOD,
    against: 3,
    author: '',
    colour: 'red',
    services: { quotes: serviceConfig('', { speed: 1, kind: 'video' }), 'Not a name': null },
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

test('rejects a ticket that changes nothing, reserved names and invalid types', (t) => {
  t.is(problemsOf({ number: 1, against: 0, author: 'ops' }).length, 1);
  t.is(problemsOf({ ...GOOD, services: { constructor: null } }).length, 1);
  t.is(problemsOf({ ...GOOD, domains: [] }).length, 1);
  t.is(problemsOf(null).length, 1);
  t.is(
    problemsOf({ ...GOOD, services: { quotes: serviceConfig('v', { takeoverBy: 'soon' }) } })
      .length,
    1,
  );
});

test('accepts a capacity in whole runners and leaves it undefined when it is not set', (t) => {
  const withCapacity = (capacity: unknown): unknown => ({
    ...GOOD,
    services: { quotes: { ...serviceConfig('v2'), capacity } },
  });
  const taken = parseTicket(withCapacity({ runners: 0, machineClass: 'gpu-8' }));
  t.deepEqual(taken.services.quotes?.capacity, { runners: 0, machineClass: 'gpu-8' });
  t.is(parseTicket(GOOD).services.quotes?.capacity, undefined);
  for (const capacity of [{}, { runners: -1 }, { runners: 1.5 }, { runners: 1, vms: 2 }, 3]) {
    t.is(problemsOf(withCapacity(capacity)).length, 1, JSON.stringify(capacity));
  }
});
