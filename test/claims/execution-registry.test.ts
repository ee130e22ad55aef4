import test from 'ava';
import fc from 'fast-check';
import {
  ExecutionOutOfOrder,
  ExecutionRegistry,
  KeyMalformed,
  KeyTableFull,
  TransferRefused,
  decideOrphanedKey,
  issueKey,
  parseKey,
} from '@ragwortrudder/claims';
import type { KeyTransfer } from '@ragwortrudder/claims';
import { ManualClock, SeededRandom } from '@ragwortrudder/core';

const A = { node: 'a', incarnation: 1 };
const B = { node: 'b', incarnation: 2 };
const C = { node: 'c', incarnation: 3 };
const MINUTE_MS = 60_000;

function table(self = A, clock = new ManualClock(), maxKeys = 100): ExecutionRegistry {
  const random = new SeededRandom(self.incarnation);
  return new ExecutionRegistry({ self, clock, random, maxKeys });
}

function request(key: string, requestDigest = 'd1') {
  return { tenant: 'regie', key, requestDigest };
}

test('a key identifies its executor, and only the exact format is parsed', (t) => {
  fc.assert(
    fc.property(fc.stringMatching(/^[a-z0-9.-]{1,20}$/), fc.nat(), (node, incarnation) => {
      const key = issueKey({ node, incarnation, random: new SeededRandom(1) });
      t.deepEqual(parseKey(key)?.executor, { node, incarnation });
    }),
    { seed: 5, numRuns: 100 },
  );
  t.is(parseKey('my-own-key'), undefined);
  t.throws(() => parseKey('k1.node.1.zz'), { instanceOf: KeyMalformed });
});

test('a key runs once; later requests wait and then receive the outcome', (t) => {
  const executor = table();
  const key = executor.issue('regie');
  t.deepEqual(executor.accept(request(key)), { kind: 'run' });
  t.deepEqual(executor.accept(request(key)), { kind: 'wait' });
  t.deepEqual(executor.accept(request(key, 'd2')), {
    kind: 'refuse',
    reason: 'key-reused',
    notRun: true,
  });
  t.is(executor.accept({ ...request(key), tenant: 'novak' }).kind, 'refuse');
  executor.startSending(key);
  t.throws(() => executor.transfer(key, B), { instanceOf: ExecutionOutOfOrder });
  executor.finish(key, 'completed', { receipt: 4 });
  t.deepEqual(executor.accept(request(key)), {
    kind: 'answer',
    word: 'completed',
    result: { receipt: 4 },
  });
  t.throws(() => {
    executor.startSending(key);
  });
});

test('an unused key expires, is refused as expired, and is unknown once pruned', (t) => {
  const clock = new ManualClock();
  const executor = table(A, clock);
  const key = executor.issue('regie');
  clock.advance(11 * MINUTE_MS);
  const refused = { kind: 'refuse', reason: 'key-expired', notRun: true } as const;
  t.deepEqual(executor.accept(request(key)), refused);
  clock.advance(30 * MINUTE_MS);
  executor.prune();
  t.is(executor.size, 0);
  t.deepEqual(executor.accept(request(key)), { kind: 'unknown' });
});

test('the number of keys is bounded, and a key in use is never evicted', (t) => {
  const clock = new ManualClock();
  const executor = table(A, clock, 2);
  const key = executor.issue('regie');
  executor.accept(request(key));
  executor.issue('regie');
  t.throws(() => executor.issue('regie'), { instanceOf: KeyTableFull });
  clock.advance(30 * MINUTE_MS);
  t.notThrows(() => executor.issue('regie'));
  t.is(executor.find(key)?.state, 'accepted');
});

test('an expired or misdirected transfer, or one back to the issuer, is refused', (t) => {
  const clock = new ManualClock();
  const a = table(A, clock);
  const message = a.transfer(a.issue('regie'), B);
  t.throws(
    () => {
      table(C, clock).receive(message);
    },
    { instanceOf: TransferRefused },
  );
  t.throws(
    () => {
      a.receive({ ...message, from: B, to: A });
    },
    { instanceOf: TransferRefused },
  );
  clock.advance(2 * MINUTE_MS);
  t.throws(
    () => {
      table(B, clock).receive(message);
    },
    { instanceOf: TransferRefused },
  );
});

test('an orphaned key is answered by proof, otherwise as `unknown`, and never runs', (t) => {
  const query = { executor: A, requestDigest: 'd1', isGone: () => true, proofs: [] };
  t.deepEqual(decideOrphanedKey({ ...query, isGone: () => false }), { kind: 'forward', to: A });
  t.deepEqual(decideOrphanedKey(query), { kind: 'unknown' });
  const moved = { outcome: { word: 'transferred', to: B } } as const;
  const done = { requestDigest: 'd1', outcome: { word: 'completed', result: 1 } } as const;
  t.deepEqual(decideOrphanedKey({ ...query, proofs: [moved] }), { kind: 'forward', to: B });
  t.deepEqual(decideOrphanedKey({ ...query, proofs: [moved, done] }), {
    kind: 'answer',
    word: 'completed',
    result: 1,
  });
  const reused = decideOrphanedKey({ ...query, requestDigest: 'd2', proofs: [done] });
  t.is(reused.kind, 'refuse');
});

const OWNERS = [A, B, C] as const;
const step = fc.record({
  kind: fc.constantFrom('accept', 'send', 'transfer', 'deliver', 'redeliver', 'advance', 'prune'),
  at: fc.nat({ max: 2 }),
  to: fc.nat({ max: 2 }),
});

interface Step {
  readonly kind: string;
  readonly at: number;
  readonly to: number;
}

/** Runs the steps and returns how often the key was sent over all tables. */
function countSends(steps: readonly Step[]): number {
  const clock = new ManualClock();
  const tables = OWNERS.map((self) => table(self, clock));
  const messages: KeyTransfer[] = [];
  const key = tables[0]?.issue('regie') ?? '';
  let sent = 0;
  const actions: Readonly<Record<string, (at: ExecutionRegistry, step: Step) => void>> = {
    accept: (at) => at.accept(request(key)),
    send: (at) => {
      at.startSending(key);
      sent += 1;
    },
    transfer: (at, { to }) => messages.push(at.transfer(key, OWNERS[to] ?? A)),
    deliver: (_at, { to }) => {
      for (const message of messages.slice(-1 - to)) deliver(message);
    },
    redeliver: () => {
      messages.forEach(deliver);
    },
    advance: () => {
      clock.advance(MINUTE_MS / 2);
    },
    prune: (at) => {
      at.prune();
    },
  };
  function deliver(message: KeyTransfer): void {
    const at = OWNERS.findIndex(({ node }) => node === message.to.node);
    tables[at]?.receive(message);
  }
  for (const item of steps) {
    const at = tables[item.at];
    try {
      if (at) actions[item.kind]?.(at, item);
    } catch (error) {
      const refused = error instanceof ExecutionOutOfOrder || error instanceof TransferRefused;
      if (!refused) throw error;
    }
  }
  return sent;
}

test('a key is sent at most once, under transfers and repeated or late messages', (t) => {
  let sent = 0;
  fc.assert(
    fc.property(fc.array(step, { maxLength: 40, size: 'max' }), (steps) => {
      const count = countSends(steps);
      sent += count;
      return count <= 1;
    }),
    { seed: 11, numRuns: 3_000 },
  );
  t.true(sent > 300, `${sent} keys sent`);
});
