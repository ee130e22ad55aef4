import test from 'ava';
import { listTickets, submissionStatus, ticketStatus } from '@ragwortrudder/tickets';
import { foldEntries, quotesTicket, serviceConfig, ticket, moveDecision } from './helpers.ts';

const ALL_APPLIED = { brno: 1_000 };

test('the first ticket of a service takes effect immediately, without a move', (t) => {
  const state = foldEntries([quotesTicket(1, 0, 'v1')]);
  t.is(state.services.quotes?.effectiveVersion, 'v1');
  t.deepEqual(state.moves, {});
  t.like(ticketStatus(state, 1, ALL_APPLIED), { status: 'accepted', inForce: { brno: true } });
});

test('a ticket is in force in a failure domain once all its nodes have applied it', (t) => {
  const state = foldEntries([quotesTicket(1, 0, 'v1'), ticket(2, 1, { domains: ['brno'] })]);
  const status = ticketStatus(state, 2, { brno: 2, praha: 1 });
  t.deepEqual(status.inForce, { brno: true, praha: false });
});

test('of two conflicting tickets the one at the lower log position wins', (t) => {
  const state = foldEntries([
    quotesTicket(1, 0, 'v1'),
    quotesTicket(3, 1, 'v3'),
    quotesTicket(2, 1, 'v2'),
  ]);
  t.is(ticketStatus(state, 3, {}).status, 'accepted');
  t.like(ticketStatus(state, 2, {}), {
    status: 'refused',
    refusal: { reason: 'changed-since', lostTo: 3, objects: ['services.quotes'] },
  });
  t.is(state.services.quotes?.service?.version, 'v3');
});

test('tickets with the same base that change different objects are both accepted', (t) => {
  const state = foldEntries([
    quotesTicket(1, 0, 'v1'),
    ticket(2, 1, { tenants: { wards: { weight: 1, maxConcurrent: 1, maxQueued: 1 } } }),
    quotesTicket(3, 1, 'v2'),
  ]);
  t.is(ticketStatus(state, 2, {}).status, 'accepted');
  t.is(ticketStatus(state, 3, {}).status, 'accepted');
});

test('a ticket number belongs to the first entry that uses it', (t) => {
  const other = { ...quotesTicket(1, 0, 'v9'), id: 'other' };
  const state = foldEntries([quotesTicket(1, 0, 'v1'), other, other]);
  t.is(state.services.quotes?.service?.version, 'v1');
  t.is(state.refusedEntries.length, 1);
  t.like(state.refusedEntries[0], {
    entryId: 'other',
    refusal: { reason: 'number-used', lostTo: 1 },
  });
  t.is(submissionStatus(state, { number: 1, entryId: 'ticket-1' }, {}).status, 'accepted');
  const lost = submissionStatus(state, { number: 1, entryId: 'other' }, {});
  t.like(lost, { status: 'refused', refusal: { reason: 'number-used', lostTo: 1 } });
  t.is(submissionStatus(state, { number: 5, entryId: 'other' }, {}).status, 'unknown');
});

test('a ticket based on an unknown, refused or outdated ticket is refused', (t) => {
  const state = foldEntries([
    quotesTicket(1, 0, 'v1'),
    quotesTicket(9, 5, 'v9'),
    quotesTicket(10, 9, 'v10'),
    quotesTicket(2, 0, 'v2'),
  ]);
  t.is(ticketStatus(state, 9, {}).refusal?.reason, 'against-unknown');
  t.is(ticketStatus(state, 10, {}).refusal?.reason, 'against-unknown');
  t.is(ticketStatus(state, 2, {}).refusal?.lostTo, 1);
  t.is(ticketStatus(state, 77, {}).status, 'unknown');
});

test('a repeated entry changes nothing, even after the decision on a move', (t) => {
  const entries = [quotesTicket(1, 0, 'v1'), quotesTicket(2, 1, 'v2'), moveDecision(2, 'undone')];
  const once = foldEntries(entries);
  const twice = foldEntries([
    ...entries,
    quotesTicket(2, 1, 'v2'),
    moveDecision(2, 'undone'),
    moveDecision(2, 'done'),
  ]);
  t.deepEqual({ ...twice, position: 0 }, { ...once, position: 0 });
});

test('a ticket is superseded once all its objects have been replaced', (t) => {
  const both = { services: { quotes: serviceConfig('v1'), orders: serviceConfig('v1') } };
  const first = foldEntries([ticket(1, 0, both), quotesTicket(2, 1, 'v1', { fencing: false })]);
  t.is(ticketStatus(first, 1, {}).status, 'accepted');
  const second = foldEntries([ticket(3, 2, { services: { orders: null } })], first);
  t.like(ticketStatus(second, 1, ALL_APPLIED), { status: 'superseded', inForce: { brno: false } });
  t.is(second.services.orders?.effectiveVersion, null);
});

test('a new version starts a move; the decision done makes it effective', (t) => {
  const open = foldEntries([
    quotesTicket(1, 0, 'v1'),
    quotesTicket(2, 1, 'v2', { takeoverBy: 5_000 }),
  ]);
  t.is(open.services.quotes?.effectiveVersion, 'v1');
  t.like(open.moves.quotes, {
    ticket: 2,
    from: 'v1',
    to: 'v2',
    startedAt: 1,
    takeoverBy: 5_000,
  });
  const done = foldEntries([moveDecision(2, 'done')], open);
  t.is(done.services.quotes?.effectiveVersion, 'v2');
  t.deepEqual(done.moves, {});
  t.like(ticketStatus(done, 2, {}).moves[0]?.word, { word: 'done', by: 'node-1', position: 2_048 });
});

test('only the first decision on a move takes effect', (t) => {
  const state = foldEntries([
    quotesTicket(1, 0, 'v1'),
    quotesTicket(2, 1, 'v2'),
    moveDecision(2, 'undone', 'a'),
    moveDecision(2, 'done', 'b'),
  ]);
  t.is(state.services.quotes?.effectiveVersion, 'v1');
  t.like(ticketStatus(state, 2, {}).moves[0]?.word, { word: 'undone', by: 'a' });
});

test('after an undone move a later ticket starts from the previous version', (t) => {
  const state = foldEntries([
    quotesTicket(1, 0, 'v1'),
    quotesTicket(2, 1, 'v2'),
    moveDecision(2, 'undone'),
    quotesTicket(3, 2, 'v3'),
  ]);
  t.like(state.moves.quotes, { ticket: 3, from: 'v1', to: 'v3' });
});

test('a later ticket for the service supersedes its move in progress', (t) => {
  const state = foldEntries([
    quotesTicket(1, 0, 'v1'),
    quotesTicket(2, 1, 'v2'),
    quotesTicket(3, 2, 'v3'),
    moveDecision(2, 'done'),
  ]);
  t.like(state.moves.quotes, { ticket: 3, from: 'v1', to: 'v3' });
  t.like(ticketStatus(state, 2, {}).moves[0]?.word, {
    word: 'undone',
    reason: 'superseded',
    by: 'ticket 3',
  });
});

test('returning to the effective version ends the move without starting another', (t) => {
  const state = foldEntries([
    quotesTicket(1, 0, 'v1'),
    quotesTicket(2, 1, 'v2'),
    quotesTicket(3, 2, 'v1'),
  ]);
  t.deepEqual(state.moves, {});
  t.is(state.services.quotes?.effectiveVersion, 'v1');
});

test('removing a service ends its move, and a new service may specify a previous version', (t) => {
  const state = foldEntries([
    quotesTicket(1, 0, 'v1'),
    quotesTicket(2, 1, 'v2'),
    ticket(3, 2, { services: { quotes: null } }),
  ]);
  t.deepEqual(state.moves, {});
  const again = foldEntries([quotesTicket(4, 3, 'v5', { previous: 'v4' })], state);
  t.like(again.moves.quotes, { from: 'v4', to: 'v5' });
});

test('malformed entries are counted and otherwise ignored', (t) => {
  const state = foldEntries([
    quotesTicket(1, 0, 'v1'),
    { body: null },
    { body: { kind: 'ticket', ticket: { number: 2 } } },
    { body: { kind: 'move-word', ticket: 'x' } },
  ]);
  t.is(state.ignored, 3);
  t.deepEqual(
    listTickets(state).map(({ number }) => number),
    [1],
  );
});

test('old tickets are pruned unless they are in force', (t) => {
  const other = ticket(1, 0, { services: { orders: serviceConfig('v1') } });
  const many = Array.from({ length: 5_000 }, (_, index) =>
    quotesTicket(index + 2, index + 1, 'v1', { fencing: index % 2 === 0 }),
  );
  const state = foldEntries([other, ...many]);
  t.true(listTickets(state).length < 4_700);
  t.is(listTickets(state).length, state.ticketCount);
  t.is(ticketStatus(state, 1, {}).status, 'accepted');
  t.is(ticketStatus(state, 2, {}).status, 'unknown');
  t.is(ticketStatus(state, 5_001, {}).status, 'accepted');
  const replayed = foldEntries([quotesTicket(2, 1, 'v1')], state);
  t.is(ticketStatus(replayed, 2, {}).status, 'refused');
});
