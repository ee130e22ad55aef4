import test from 'ava';
import { listTickets, submissionStatus, ticketStatus } from '@ragwortrudder/tickets';
import { fold, quotes, service, ticket, word } from './parts.ts';

const ALL_APPLIED = { brno: 1_000 };

test('a first ticket puts a service in force at once, without a move', (t) => {
  const state = fold([quotes(1, 0, 'v1')]);
  t.is(state.services.quotes?.effectiveVersion, 'v1');
  t.deepEqual(state.moves, {});
  t.like(ticketStatus(state, 1, ALL_APPLIED), { status: 'accepted', inForce: { brno: true } });
});

test('a ticket is in force in a domain once its nodes have applied it', (t) => {
  const state = fold([quotes(1, 0, 'v1'), ticket(2, 1, { domains: ['brno'] })]);
  const status = ticketStatus(state, 2, { brno: 2, praha: 1 });
  t.deepEqual(status.inForce, { brno: true, praha: false });
});

test('of two tickets on the same object the lower position wins', (t) => {
  const state = fold([quotes(1, 0, 'v1'), quotes(3, 1, 'v3'), quotes(2, 1, 'v2')]);
  t.is(ticketStatus(state, 3, {}).status, 'accepted');
  t.like(ticketStatus(state, 2, {}), {
    status: 'refused',
    refusal: { reason: 'changed-since', lostTo: 3, objects: ['services.quotes'] },
  });
  t.is(state.services.quotes?.service?.version, 'v3');
});

test('tickets on other objects written against the same one are both accepted', (t) => {
  const state = fold([
    quotes(1, 0, 'v1'),
    ticket(2, 1, { tenants: { wards: { weight: 1, maxConcurrent: 1, maxQueued: 1 } } }),
    quotes(3, 1, 'v2'),
  ]);
  t.is(ticketStatus(state, 2, {}).status, 'accepted');
  t.is(ticketStatus(state, 3, {}).status, 'accepted');
});

test('a number belongs to the first entry that used it', (t) => {
  const other = { ...quotes(1, 0, 'v9'), id: 'other' };
  const state = fold([quotes(1, 0, 'v1'), other, other]);
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

test('a ticket against an unknown, a later or a refused one is refused', (t) => {
  const state = fold([
    quotes(1, 0, 'v1'),
    quotes(9, 5, 'v9'),
    quotes(10, 9, 'v10'),
    quotes(2, 0, 'v2'),
  ]);
  t.is(ticketStatus(state, 9, {}).refusal?.reason, 'against-unknown');
  t.is(ticketStatus(state, 10, {}).refusal?.reason, 'against-unknown');
  t.is(ticketStatus(state, 2, {}).refusal?.lostTo, 1);
  t.is(ticketStatus(state, 77, {}).status, 'unknown');
});

test('a repeated entry changes nothing, also after a word', (t) => {
  const entries = [quotes(1, 0, 'v1'), quotes(2, 1, 'v2'), word(2, 'undone')];
  const once = fold(entries);
  const twice = fold([...entries, quotes(2, 1, 'v2'), word(2, 'undone'), word(2, 'done')]);
  t.deepEqual({ ...twice, position: 0 }, { ...once, position: 0 });
});

test('a ticket is superseded when all its objects have been replaced', (t) => {
  const both = { services: { quotes: service('v1'), orders: service('v1') } };
  const first = fold([ticket(1, 0, both), quotes(2, 1, 'v1', { fencing: false })]);
  t.is(ticketStatus(first, 1, {}).status, 'accepted');
  const second = fold([ticket(3, 2, { services: { orders: null } })], first);
  t.like(ticketStatus(second, 1, ALL_APPLIED), { status: 'superseded', inForce: { brno: false } });
  t.is(second.services.orders?.effectiveVersion, null);
});

test('a new version opens a move; done makes it effective', (t) => {
  const open = fold([quotes(1, 0, 'v1'), quotes(2, 1, 'v2', { takeoverBy: 5_000 })]);
  t.is(open.services.quotes?.effectiveVersion, 'v1');
  t.like(open.moves.quotes, {
    ticket: 2,
    from: 'v1',
    to: 'v2',
    startedAt: 1,
    takeoverBy: 5_000,
  });
  const done = fold([word(2, 'done')], open);
  t.is(done.services.quotes?.effectiveVersion, 'v2');
  t.deepEqual(done.moves, {});
  t.like(ticketStatus(done, 2, {}).moves[0]?.word, { word: 'done', by: 'node-1', position: 2_048 });
});

test('the first word of a move stands', (t) => {
  const state = fold([
    quotes(1, 0, 'v1'),
    quotes(2, 1, 'v2'),
    word(2, 'undone', 'a'),
    word(2, 'done', 'b'),
  ]);
  t.is(state.services.quotes?.effectiveVersion, 'v1');
  t.like(ticketStatus(state, 2, {}).moves[0]?.word, { word: 'undone', by: 'a' });
});

test('after undone a later ticket goes on from the earlier version', (t) => {
  const state = fold([
    quotes(1, 0, 'v1'),
    quotes(2, 1, 'v2'),
    word(2, 'undone'),
    quotes(3, 2, 'v3'),
  ]);
  t.like(state.moves.quotes, { ticket: 3, from: 'v1', to: 'v3' });
});

test('a later ticket on the service supersedes its open move', (t) => {
  const state = fold([quotes(1, 0, 'v1'), quotes(2, 1, 'v2'), quotes(3, 2, 'v3'), word(2, 'done')]);
  t.like(state.moves.quotes, { ticket: 3, from: 'v1', to: 'v3' });
  t.like(ticketStatus(state, 2, {}).moves[0]?.word, {
    word: 'undone',
    reason: 'superseded',
    by: 'ticket 3',
  });
});

test('going back to the effective version ends the move and opens none', (t) => {
  const state = fold([quotes(1, 0, 'v1'), quotes(2, 1, 'v2'), quotes(3, 2, 'v1')]);
  t.deepEqual(state.moves, {});
  t.is(state.services.quotes?.effectiveVersion, 'v1');
});

test('a removed service ends its move, and a new one may name a previous version', (t) => {
  const state = fold([
    quotes(1, 0, 'v1'),
    quotes(2, 1, 'v2'),
    ticket(3, 2, { services: { quotes: null } }),
  ]);
  t.deepEqual(state.moves, {});
  const again = fold([quotes(4, 3, 'v5', { previous: 'v4' })], state);
  t.like(again.moves.quotes, { from: 'v4', to: 'v5' });
});

test('malformed entries are counted and change nothing else', (t) => {
  const state = fold([
    quotes(1, 0, 'v1'),
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

test('old tickets that are not in force are dropped, those in force are kept', (t) => {
  const other = ticket(1, 0, { services: { orders: service('v1') } });
  const many = Array.from({ length: 5_000 }, (_, index) =>
    quotes(index + 2, index + 1, 'v1', { fencing: index % 2 === 0 }),
  );
  const state = fold([other, ...many]);
  t.true(listTickets(state).length < 4_700);
  t.is(listTickets(state).length, state.ticketCount);
  t.is(ticketStatus(state, 1, {}).status, 'accepted');
  t.is(ticketStatus(state, 2, {}).status, 'unknown');
  t.is(ticketStatus(state, 5_001, {}).status, 'accepted');
  const replayed = fold([quotes(2, 1, 'v1')], state);
  t.is(ticketStatus(replayed, 2, {}).status, 'refused');
});
