import test from 'ava';
import fc from 'fast-check';
import { ManualClock, SeededRandom } from '@ragwortrudder/core';
import type { Clock } from '@ragwortrudder/core';
import { LeaseHolder, leaseFold } from '@ragwortrudder/leases';
import type { LeaseEntry, LeaseState } from '@ragwortrudder/leases';

const JOB = 'supply/zone-1';
const DURATION_MS = 10_000;
const SETTLE_MS = 3_000;

/** Clock that runs at its own rate from its own start. */
class DriftingClock implements Clock {
  constructor(
    readonly truth: Clock,
    readonly rate: number,
  ) {}

  wall(): number {
    return this.monotonic();
  }

  monotonic(): number {
    return this.truth.monotonic() * this.rate + 1_000_000 * this.rate;
  }
}

interface Write {
  readonly entry: LeaseEntry;
  readonly resolve: (position: number) => void;
  readonly reject: (error: Error) => void;
}

/** Log whose appends take effect, and whose replies arrive, when the test says so. */
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

  /** Lets the appends take effect; with `lost` their replies fail although they did. */
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

async function settle(): Promise<void> {
  for (let turn = 0; turn < 8; turn += 1) await Promise.resolve();
}

class Bed {
  readonly clock = new ManualClock();
  readonly log = new SlowLog(this.clock);

  holder(name: string, rate = 1, marginMs = 2_000): LeaseHolder {
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
    await settle();
    for (const holder of holders) holder.observe(this.log.state);
  }
}

test('a holder acts from its win until the margin before its end', async (t) => {
  const bed = new Bed();
  const a = bed.holder('a');
  void a.request();
  bed.clock.advance(3_000);
  t.false(a.mayAct());
  await bed.flush(a);
  t.true(a.mayAct());
  t.is(a.fence, 0);
  bed.clock.advance(4_999);
  t.true(a.mayAct());
  bed.clock.advance(1);
  t.false(a.mayAct());
  t.is(a.state, 'stopping');
  bed.clock.advance(2_000);
  t.false(a.isHeld);
  t.is(a.state, 'free');
});

test('a paused holder never acts past its end and its successor has a larger fence', async (t) => {
  const bed = new Bed();
  const [a, b] = [bed.holder('a'), bed.holder('b')];
  void a.request();
  await bed.flush(a, b);
  const first = a.fence ?? NaN;
  bed.clock.advance(DURATION_MS);
  void b.request();
  await bed.flush(b);
  t.true(b.mayAct());
  t.false(a.mayAct());
  t.true((b.fence ?? NaN) > first);
  t.false(b.mayActUnfenced());
  bed.clock.advance(SETTLE_MS);
  t.true(b.mayActUnfenced());
});

test('a renewal extends the lease from the time before it was sent', async (t) => {
  const bed = new Bed();
  const a = bed.holder('a');
  void a.request();
  await bed.flush(a);
  t.false(a.isRenewalDue);
  bed.clock.advance(5_000);
  t.true(a.isRenewalDue);
  void a.renew();
  t.false(a.isRenewalDue);
  bed.clock.advance(3_500);
  t.false(a.mayAct());
  await bed.flush(a);
  t.true(a.mayAct());
  bed.clock.advance(4_500);
  t.false(a.mayAct());
});

test('a lost reply, a lost race and a release leave the holder without the lease', async (t) => {
  const bed = new Bed();
  const [a, b] = [bed.holder('a'), bed.holder('b')];
  const lost = t.throwsAsync(a.request(), { instanceOf: RangeError });
  bed.log.append(true);
  bed.log.reply();
  await lost;
  a.observe(bed.log.state);
  t.is(a.state, 'free');
  void b.request();
  await bed.flush(a, b);
  t.is(b.state, 'free');
  bed.clock.advance(DURATION_MS);
  void b.request();
  await bed.flush(b);
  t.true(b.mayAct());
  void b.release();
  t.false(b.mayAct());
  await bed.flush(a, b);
  void a.request();
  await bed.flush(a);
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

/** Random pauses, delays of appends, replies and reads over three holders; returns all orders. */
async function run({ marginMs, rateError, seed }: Trial): Promise<readonly Order[]> {
  const random = new SeededRandom(seed);
  const bed = new Bed();
  const holders = ['a', 'b', 'c'].map((name) =>
    bed.holder(name, 1 + (2 * random.next() - 1) * rateError, marginMs),
  );
  const orders: Order[] = [];
  for (let step = 0; step < 150; step += 1) {
    bed.clock.advance(Math.floor(random.next() * (random.next() < 0.1 ? 8_000 : 400)));
    if (random.next() < 0.4) bed.log.append(random.next() < 0.1);
    if (random.next() < 0.4) bed.log.reply();
    await settle();
    const holder = holders[Math.floor(random.next() * holders.length)];
    if (!holder) continue;
    if (random.next() < 0.7) holder.observe(bed.log.state);
    if (holder.state === 'free') holder.request().catch(() => undefined);
    if (holder.isRenewalDue && random.next() < 0.7) holder.renew().catch(() => undefined);
    if (random.next() < 0.02) holder.release().catch(() => undefined);
    const acting = holders.filter((one) => one.mayAct()).length;
    if (holder.mayAct()) orders.push({ fence: holder.fence ?? NaN, acting });
  }
  return orders;
}

function isSafe(orders: readonly Order[]): boolean {
  return orders.every(({ fence, acting }, index) => {
    return acting === 1 && fence >= (orders[index - 1]?.fence ?? 0);
  });
}

const seeds = { seed: 3, numRuns: 500, endOnFailure: true };
/** A lease without a margin overlaps the next one rarely. */
const MUTATION_RUNS = 4000;

test('two holders never act at once and fences grow, with clock rates wrong by 5 %', async (t) => {
  let count = 0;
  let fences = 0;
  await fc.assert(
    fc.asyncProperty(fc.nat(), async (seed) => {
      const orders = await run({ marginMs: 2_000, rateError: 0.05, seed });
      count += orders.length;
      fences += new Set(orders.map(({ fence }) => fence)).size;
      return isSafe(orders);
    }),
    seeds,
  );
  t.true(fences > 500, `${fences} leases`);
  t.log(`${count} orders under ${fences} leases`);
});

test('the property fails without a margin', async (t) => {
  const outcome = await fc.check(
    fc.asyncProperty(fc.nat(), async (seed) =>
      isSafe(await run({ marginMs: 0, rateError: 0.05, seed })),
    ),
    { ...seeds, numRuns: MUTATION_RUNS },
  );
  t.true(outcome.failed);
});
