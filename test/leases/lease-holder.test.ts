import test from 'ava';
import fc from 'fast-check';
import { ManualClock, SeededRandom } from '@ragwortrudder/core';
import type { Clock } from '@ragwortrudder/core';
import { LeaseHolder, leaseFold } from '@ragwortrudder/leases';
import type { LeaseEntry, LeaseState } from '@ragwortrudder/leases';

const JOB = 'supply/zone-1';
const DURATION_MS = 10_000;
const SETTLE_MS = 3_000;

/** Clock with a drift rate and an offset relative to the true clock. */
class DriftingClock implements Clock {
  constructor(
    readonly trueClock: Clock,
    readonly rate: number,
  ) {}

  wall(): number {
    return this.monotonic();
  }

  monotonic(): number {
    return this.trueClock.monotonic() * this.rate + 1_000_000 * this.rate;
  }
}

interface Write {
  readonly entry: LeaseEntry;
  readonly resolve: (position: number) => void;
  readonly reject: (error: Error) => void;
}

/** Log whose appends and replies are delayed until the test triggers them. */
class SlowLog {
  readonly #clock: Clock;
  readonly #written: Write[] = [];
  readonly #replies: (() => void)[] = [];
  #state = leaseFold.initial;
  #offset = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  get state(): LeaseState {
    return this.#state;
  }

  write(entry: LeaseEntry): Promise<number> {
    return new Promise((resolve, reject) => this.#written.push({ entry, resolve, reject }));
  }

  /** Applies the pending appends; with `lost`, their replies fail although they were applied. */
  append(lost = false): void {
    for (const { entry, resolve, reject } of this.#written.splice(0)) {
      const offset = this.#offset;
      this.#offset += 1;
      const position = offset * 1024;
      const time = this.#clock.wall();
      this.#state = leaseFold.apply(this.#state, { position, offset, id: '', time, body: entry });
      const reply = (): void => {
        if (lost) reject(new RangeError('reply lost'));
        else resolve(position);
      };
      this.#replies.push(reply);
    }
  }

  reply(): void {
    for (const reply of this.#replies.splice(0)) reply();
  }
}

async function flushMicrotasks(): Promise<void> {
  for (let turn = 0; turn < 8; turn += 1) await Promise.resolve();
}

class TestEnvironment {
  readonly clock = new ManualClock();
  readonly log = new SlowLog(this.clock);

  createHolder(name: string, rate = 1, marginMs = 2_000): LeaseHolder {
    return new LeaseHolder({
      job: JOB,
      holder: name,
      clock: new DriftingClock(this.clock, rate),
      write: (entry) => this.log.write(entry),
      durationMs: DURATION_MS,
      settleMs: SETTLE_MS,
      marginMs,
    });
  }

  async flush(...holders: readonly LeaseHolder[]): Promise<void> {
    this.log.append();
    this.log.reply();
    await flushMicrotasks();
    for (const holder of holders) holder.observe(this.log.state);
  }
}

test('a holder acts from acquisition until the safety margin before the end', async (t) => {
  const env = new TestEnvironment();
  const a = env.createHolder('a');
  void a.request();
  env.clock.advance(3_000);
  t.false(a.mayAct());
  await env.flush(a);
  t.true(a.mayAct());
  t.is(a.fence, 0);
  env.clock.advance(4_999);
  t.true(a.mayAct());
  env.clock.advance(1);
  t.false(a.mayAct());
  t.is(a.state, 'stopping');
  env.clock.advance(2_000);
  t.false(a.isHeld);
  t.is(a.state, 'free');
});

test('a paused holder never acts after the end of its lease, and its successor has a larger fencing token', async (t) => {
  const env = new TestEnvironment();
  const [a, b] = [env.createHolder('a'), env.createHolder('b')];
  void a.request();
  await env.flush(a, b);
  const first = a.fence ?? NaN;
  env.clock.advance(DURATION_MS);
  void b.request();
  await env.flush(b);
  t.true(b.mayAct());
  t.false(a.mayAct());
  t.true((b.fence ?? NaN) > first);
  t.false(b.mayActUnfenced());
  env.clock.advance(SETTLE_MS);
  t.true(b.mayActUnfenced());
});

test('a renewal extends the lease from the time at which it was sent', async (t) => {
  const env = new TestEnvironment();
  const a = env.createHolder('a');
  void a.request();
  await env.flush(a);
  t.false(a.isRenewalDue);
  env.clock.advance(5_000);
  t.true(a.isRenewalDue);
  void a.renew();
  t.false(a.isRenewalDue);
  env.clock.advance(3_500);
  t.false(a.mayAct());
  await env.flush(a);
  t.true(a.mayAct());
  env.clock.advance(4_500);
  t.false(a.mayAct());
});

test('a holder has no lease after a lost reply, a lost race or a release', async (t) => {
  const env = new TestEnvironment();
  const [a, b] = [env.createHolder('a'), env.createHolder('b')];
  const lost = t.throwsAsync(a.request(), { instanceOf: RangeError });
  env.log.append(true);
  env.log.reply();
  await lost;
  a.observe(env.log.state);
  t.is(a.state, 'free');
  void b.request();
  await env.flush(a, b);
  t.is(b.state, 'free');
  env.clock.advance(DURATION_MS);
  void b.request();
  await env.flush(b);
  t.true(b.mayAct());
  void b.release();
  t.false(b.mayAct());
  await env.flush(a, b);
  void a.request();
  await env.flush(a);
  t.true(a.mayAct());
});

interface Order {
  readonly fence: number;
  readonly acting: number;
}

interface Trial {
  readonly marginMs: number;
  readonly rateError: number;
  readonly seed: number;
}

/** Runs three holders with random pauses and delays of appends, replies and reads; returns all orders. */
async function runTrial({ marginMs, rateError, seed }: Trial): Promise<readonly Order[]> {
  const random = new SeededRandom(seed);
  const env = new TestEnvironment();
  const holders = ['a', 'b', 'c'].map((name) =>
    env.createHolder(name, 1 + (2 * random.next() - 1) * rateError, marginMs),
  );
  const orders: Order[] = [];
  for (let step = 0; step < 150; step += 1) {
    env.clock.advance(Math.floor(random.next() * (random.next() < 0.1 ? 8_000 : 400)));
    if (random.next() < 0.4) env.log.append(random.next() < 0.1);
    if (random.next() < 0.4) env.log.reply();
    await flushMicrotasks();
    const holder = holders[Math.floor(random.next() * holders.length)];
    if (!holder) continue;
    if (random.next() < 0.7) holder.observe(env.log.state);
    if (holder.state === 'free') holder.request().catch(() => undefined);
    if (holder.isRenewalDue && random.next() < 0.7) holder.renew().catch(() => undefined);
    if (random.next() < 0.02) holder.release().catch(() => undefined);
    const acting = holders.filter((other) => other.mayAct()).length;
    if (holder.mayAct()) orders.push({ fence: holder.fence ?? NaN, acting });
  }
  return orders;
}

function isExclusive(orders: readonly Order[]): boolean {
  return orders.every(({ fence, acting }, index) => {
    return acting === 1 && fence >= (orders[index - 1]?.fence ?? 0);
  });
}

const CHECK_PARAMETERS = { seed: 3, numRuns: 500, endOnFailure: true };
/** More runs than elsewhere, because a lease without a margin rarely overlaps the next one. */
const NO_MARGIN_RUNS = 4000;

test('two holders never act at once and fencing tokens increase, with clock rates off by up to 5 %', async (t) => {
  let count = 0;
  let fences = 0;
  await fc.assert(
    fc.asyncProperty(fc.nat(), async (seed) => {
      const orders = await runTrial({ marginMs: 2_000, rateError: 0.05, seed });
      count += orders.length;
      fences += new Set(orders.map(({ fence }) => fence)).size;
      return isExclusive(orders);
    }),
    CHECK_PARAMETERS,
  );
  t.true(fences > 500, `${fences} leases`);
  t.log(`${count} orders under ${fences} leases`);
});

test('the property fails without a safety margin', async (t) => {
  const outcome = await fc.check(
    fc.asyncProperty(fc.nat(), async (seed) =>
      isExclusive(await runTrial({ marginMs: 0, rateError: 0.05, seed })),
    ),
    { ...CHECK_PARAMETERS, numRuns: NO_MARGIN_RUNS },
  );
  t.true(outcome.failed);
});
