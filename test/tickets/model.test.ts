import test from 'ava';
import fc from 'fast-check';
import { ticketAt, ticketFold, ticketStatus } from '@ragwortrudder/tickets';
import type { TicketState } from '@ragwortrudder/tickets';
import { service } from './parts.ts';

interface Change {
  readonly kind: 'ticket';
  readonly number: number;
  readonly against: number;
  readonly versions: Readonly<Record<string, string | null>>;
}

interface Word {
  readonly kind: 'move-word';
  readonly ticket: number;
  readonly service: string;
  readonly word: 'done' | 'undone';
}

interface Attempt {
  readonly id: string;
  readonly action: Change | Word;
  /** How often the entry reaches the log: 0 when the append is lost, 2 when its reply is. */
  readonly copies: number;
}

const NAMES = ['quotes', 'orders'];

const change = fc.record({
  kind: fc.constant('ticket' as const),
  number: fc.integer({ min: 1, max: 12 }),
  against: fc.integer({ min: 0, max: 11 }),
  versions: fc.dictionary(fc.constantFrom(...NAMES), fc.option(fc.constantFrom('v1', 'v2', 'v3')), {
    minKeys: 1,
  }),
});

const word = fc.record({
  kind: fc.constant('move-word' as const),
  ticket: fc.integer({ min: 1, max: 12 }),
  service: fc.constantFrom(...NAMES),
  word: fc.constantFrom('done' as const, 'undone' as const),
});

const attempts = fc
  .array(
    fc.record({
      action: fc.oneof({ weight: 3, arbitrary: change }, { weight: 1, arbitrary: word }),
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

function bodyOf(action: Change | Word): unknown {
  if (action.kind === 'move-word') return { ...action, reason: 'r', by: 'n' };
  const { number, against, versions } = action;
  const services = Object.fromEntries(
    Object.entries(versions).map(([name, version]) => [name, version && service(version)]),
  );
  return { kind: 'ticket', ticket: { number, against, author: 'ops', services } };
}

function entryOf({ id, action }: Attempt, offset: number): Parameters<typeof ticketFold.apply>[1] {
  return { position: offset * 1_024, offset, id, time: offset, body: bodyOf(action) };
}

function statesOf(list: readonly Attempt[]): readonly TicketState[] {
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

/** Sequential model written without regard to speed: a list of accepted tickets in order. */
class Model {
  readonly accepted: Change[] = [];
  readonly verdicts = new Map<number, { readonly id: string; readonly isAccepted: boolean }>();
  readonly effective = new Map<string, string | null>();
  readonly open = new Map<string, OpenMove>();

  take({ id, action }: Attempt): void {
    if (action.kind === 'move-word') this.#end(action);
    else if (action.against < action.number) this.#change(id, action);
  }

  #end({ ticket, service: name, word: said }: Word): void {
    const move = this.open.get(name);
    if (move?.ticket !== ticket) return;
    this.open.delete(name);
    this.effective.set(name, said === 'done' ? move.to : move.from);
  }

  #change(id: string, action: Change): void {
    if (this.verdicts.has(action.number)) return;
    const base = this.accepted.findIndex(({ number }) => number === action.against);
    const isKnown = action.against === 0 || base >= 0;
    const later = this.accepted.slice(base + 1);
    const touches = (name: string): boolean => later.some(({ versions }) => name in versions);
    const isAccepted = isKnown && !Object.keys(action.versions).some(touches);
    this.verdicts.set(action.number, { id, isAccepted });
    if (!isAccepted) return;
    this.accepted.push(action);
    for (const [name, version] of Object.entries(action.versions)) {
      this.#serve(name, version, action.number);
    }
  }

  #serve(name: string, version: string | null, ticket: number): void {
    this.open.delete(name);
    const from = this.effective.get(name) ?? null;
    if (version === null || from === null) this.effective.set(name, version);
    else if (from !== version) this.open.set(name, { ticket, from, to: version });
  }
}

test('racing operators with lost and repeated replies: the fold equals a sequential model', (t) => {
  const property = fc.property(attempts, (list) => {
    const model = new Model();
    list.forEach((attempt) => {
      model.take(attempt);
    });
    const state = statesOf(list).at(-1) ?? ticketFold.initial;
    for (const [number, { id, isAccepted }] of model.verdicts) {
      t.is(ticketAt(state, number)?.entryId, id);
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

test('each ticket gets one final status and each move one final word', (t) => {
  const property = fc.property(attempts, (list) => {
    const rank = { unknown: 0, refused: 1, accepted: 1, superseded: 2 };
    const states = statesOf(list);
    for (let number = 1; number <= 12; number += 1) {
      const seen = states.map((state) => ticketStatus(state, number, {}));
      seen.slice(1).forEach((after, index) => {
        const before = seen[index];
        if (!before) return;
        t.true(rank[after.status] >= rank[before.status]);
        if (before.status === 'refused') t.deepEqual(after, before);
        for (const { word: said, service: name } of before.moves) {
          const later = after.moves.find((move) => move.service === name);
          if (said) t.deepEqual(later?.word, said);
        }
      });
    }
  });
  fc.assert(property, { seed: 12, numRuns: 100 });
  t.pass();
});

test('any split of the prefix by a snapshot gives the same state, and repeats never move it back', (t) => {
  const property = fc.property(attempts, fc.nat(30), fc.nat(30), (list, cut, again) => {
    const whole = statesOf(list).at(-1) ?? ticketFold.initial;
    const at = Math.min(cut, list.length);
    const half = statesOf(list.slice(0, at)).at(-1) ?? ticketFold.initial;
    const data = JSON.parse(JSON.stringify(ticketFold.snapshotter?.serialize(half))) as unknown;
    let state = ticketFold.snapshotter?.restore(data) ?? ticketFold.initial;
    const start = Math.max(0, at - again);
    list.slice(start).forEach((attempt, index) => {
      const next = ticketFold.apply(state, entryOf(attempt, start + index));
      t.true(next.position >= state.position);
      state = next;
    });
    t.deepEqual(state, whole);
  });
  fc.assert(property, { seed: 13, numRuns: 200 });
  t.pass();
});
