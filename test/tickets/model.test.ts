import test from 'ava';
import fc from 'fast-check';
import { findTicket, ticketFold, ticketStatus } from '@ragwortrudder/tickets';
import type { TicketState } from '@ragwortrudder/tickets';
import { serviceConfig } from './helpers.ts';

interface TicketAction {
  readonly kind: 'ticket';
  readonly number: number;
  readonly against: number;
  readonly versions: Readonly<Record<string, string | null>>;
}

interface MoveDecisionAction {
  readonly kind: 'move-word';
  readonly ticket: number;
  readonly service: string;
  readonly word: 'done' | 'undone';
}

interface EntryAttempt {
  readonly id: string;
  readonly action: TicketAction | MoveDecisionAction;
  /** Number of times the entry reaches the log: 0 if the append is lost, 2 if its reply is lost. */
  readonly copies: number;
}

const NAMES = ['quotes', 'orders'];

const ticketAction = fc.record({
  kind: fc.constant('ticket' as const),
  number: fc.integer({ min: 1, max: 12 }),
  against: fc.integer({ min: 0, max: 11 }),
  versions: fc.dictionary(fc.constantFrom(...NAMES), fc.option(fc.constantFrom('v1', 'v2', 'v3')), {
    minKeys: 1,
  }),
});

const moveDecisionAction = fc.record({
  kind: fc.constant('move-word' as const),
  ticket: fc.integer({ min: 1, max: 12 }),
  service: fc.constantFrom(...NAMES),
  word: fc.constantFrom('done' as const, 'undone' as const),
});

const attempts = fc
  .array(
    fc.record({
      action: fc.oneof(
        { weight: 3, arbitrary: ticketAction },
        { weight: 1, arbitrary: moveDecisionAction },
      ),
      copies: fc.constantFrom(0, 1, 1, 1, 2, 3),
      delays: fc.array(fc.nat(6), { minLength: 3, maxLength: 3 }),
    }),
    { maxLength: 30 },
  )
  .map((list) => {
    const published = list.flatMap(({ action, copies, delays }, index) =>
      Array.from({ length: copies }, (_, copy) => ({
        at: index + (delays[copy] ?? 0) * copy,
        attempt: { id: `entry-${index}`, action, copies },
      })),
    );
    return published.sort((a, b) => a.at - b.at).map(({ attempt }) => attempt);
  });

function bodyOf(action: TicketAction | MoveDecisionAction): unknown {
  if (action.kind === 'move-word') return { ...action, reason: 'r', by: 'n' };
  const { number, against, versions } = action;
  const services = Object.fromEntries(
    Object.entries(versions).map(([name, version]) => [name, version && serviceConfig(version)]),
  );
  return { kind: 'ticket', ticket: { number, against, author: 'ops', services } };
}

function entryOf(
  { id, action }: EntryAttempt,
  offset: number,
): Parameters<typeof ticketFold.apply>[1] {
  return { position: offset * 1_024, offset, id, time: offset, body: bodyOf(action) };
}

function statesOf(list: readonly EntryAttempt[]): readonly TicketState[] {
  const states = [ticketFold.initial];
  list.forEach((attempt, offset) => {
    states.push(ticketFold.apply(states.at(-1) ?? ticketFold.initial, entryOf(attempt, offset)));
  });
  return states;
}

interface OpenMove {
  readonly ticket: number;
  readonly from: string;
  readonly to: string;
}

/**
 * Simple sequential reference model, not optimized for speed: an ordered list of accepted tickets.
 */
class Model {
  readonly accepted: TicketAction[] = [];
  readonly verdicts = new Map<number, { readonly id: string; readonly isAccepted: boolean }>();
  readonly effective = new Map<string, string | null>();
  readonly open = new Map<string, OpenMove>();

  apply({ id, action }: EntryAttempt): void {
    if (action.kind === 'move-word') this.#endMove(action);
    else if (action.against < action.number) this.#applyTicket(id, action);
  }

  #endMove({ ticket, service: name, word: outcome }: MoveDecisionAction): void {
    const move = this.open.get(name);
    if (move?.ticket !== ticket) return;
    this.open.delete(name);
    this.effective.set(name, outcome === 'done' ? move.to : move.from);
  }

  #applyTicket(id: string, action: TicketAction): void {
    if (this.verdicts.has(action.number)) return;
    const base = this.accepted.findIndex(({ number }) => number === action.against);
    const isKnown = action.against === 0 || base >= 0;
    const laterTickets = this.accepted.slice(base + 1);
    const isChangedSinceBase = (name: string): boolean =>
      laterTickets.some(({ versions }) => name in versions);
    const isAccepted = isKnown && !Object.keys(action.versions).some(isChangedSinceBase);
    this.verdicts.set(action.number, { id, isAccepted });
    if (!isAccepted) return;
    this.accepted.push(action);
    for (const [name, version] of Object.entries(action.versions)) {
      this.#setVersion(name, version, action.number);
    }
  }

  #setVersion(name: string, version: string | null, ticket: number): void {
    this.open.delete(name);
    const from = this.effective.get(name) ?? null;
    if (version === null || from === null) this.effective.set(name, version);
    else if (from !== version) this.open.set(name, { ticket, from, to: version });
  }
}

test('with concurrent operators and lost or duplicated appends the fold matches a sequential model', (t) => {
  const property = fc.property(attempts, (list) => {
    const model = new Model();
    list.forEach((attempt) => {
      model.apply(attempt);
    });
    const state = statesOf(list).at(-1) ?? ticketFold.initial;
    for (const [number, { id, isAccepted }] of model.verdicts) {
      t.is(findTicket(state, number)?.entryId, id);
      t.is(ticketStatus(state, number, {}).status !== 'refused', isAccepted);
    }
    t.is(state.ticketCount, model.verdicts.size);
    for (const [name, version] of model.effective) {
      t.is(state.services[name]?.effectiveVersion, version);
    }
    t.deepEqual(
      Object.values(state.moves).map(({ ticket, from, to }) => ({ ticket, from, to })),
      Object.keys(state.moves).map((name) => model.open.get(name)),
    );
    t.is(Object.keys(state.moves).length, model.open.size);
  });
  fc.assert(property, { seed: 11, numRuns: 300 });
  t.pass();
});

test('each ticket gets one final status and each move one final decision', (t) => {
  const property = fc.property(attempts, (list) => {
    const rank = { unknown: 0, refused: 1, accepted: 1, superseded: 2 };
    const states = statesOf(list);
    for (let number = 1; number <= 12; number += 1) {
      const statuses = states.map((state) => ticketStatus(state, number, {}));
      statuses.slice(1).forEach((after, index) => {
        const before = statuses[index];
        if (!before) return;
        t.true(rank[after.status] >= rank[before.status]);
        if (before.status === 'refused') t.deepEqual(after, before);
        for (const { word: outcome, service: name } of before.moves) {
          const laterMove = after.moves.find((move) => move.service === name);
          if (outcome) t.deepEqual(laterMove?.word, outcome);
        }
      });
    }
  });
  fc.assert(property, { seed: 12, numRuns: 100 });
  t.pass();
});

test('restoring a snapshot at any point gives the same state, and replayed entries never move it back', (t) => {
  const property = fc.property(
    attempts,
    fc.nat(30),
    fc.nat(30),
    (list, snapshotLength, overlap) => {
      const fullState = statesOf(list).at(-1) ?? ticketFold.initial;
      const snapshotAt = Math.min(snapshotLength, list.length);
      const prefixState = statesOf(list.slice(0, snapshotAt)).at(-1) ?? ticketFold.initial;
      const data = JSON.parse(
        JSON.stringify(ticketFold.snapshotter?.serialize(prefixState)),
      ) as unknown;
      let state = ticketFold.snapshotter?.restore(data) ?? ticketFold.initial;
      const start = Math.max(0, snapshotAt - overlap);
      list.slice(start).forEach((attempt, index) => {
        const next = ticketFold.apply(state, entryOf(attempt, start + index));
        t.true(next.position >= state.position);
        state = next;
      });
      t.deepEqual(state, fullState);
    },
  );
  fc.assert(property, { seed: 13, numRuns: 200 });
  t.pass();
});
