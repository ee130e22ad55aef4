import test from 'ava';
import { ManualClock, SystemClock } from '@ragwortrudder/core';
import { LeaseHolder, leaseFold } from '@ragwortrudder/leases';
import type { LeaseEntry, LeaseState } from '@ragwortrudder/leases';
import { EngineRunner } from '@ragwortrudder/standins';
import type { ExecutionContext } from 'ava';
import got from 'got';
import { Metrics } from '../../packages/node/src/node/metrics/metrics.ts';
import { EngineClient } from '../../packages/node/src/node/supply/engine-client.ts';
import { EngineOrders } from '../../packages/node/src/node/supply/engine-orders.ts';
import type { SupplyView } from '../../packages/node/src/types/supply-view.ts';
import { RateLimiter } from '../../packages/node/src/utils/rate-limiter.ts';
import { ticketsOf } from './supply-parts.ts';

const LEASE_MS = 10_000;
const SETTLE_MS = 3000;
const JOB = 'supply/quotes';

interface Order {
  readonly fence: number;
  readonly action: string;
  readonly applied: boolean;
}

/** The stream of leases in memory; entries take effect at once. */
class Leases {
  readonly clock = new ManualClock(1000);
  readonly #holders: LeaseHolder[] = [];
  #state: LeaseState = leaseFold.initial;
  #offset = 0;

  holder(name: string): LeaseHolder {
    const { clock } = this;
    const write = (entry: LeaseEntry): Promise<number> => Promise.resolve(this.#append(entry));
    const holder = new LeaseHolder({
      ...{ job: JOB, holder: name, clock, write, durationMs: LEASE_MS, settleMs: SETTLE_MS },
    });
    this.#holders.push(holder);
    return holder;
  }

  /** Gives the lease to `holder` once the one before it has ended. */
  async pass(holder: LeaseHolder): Promise<void> {
    await holder.request();
    holder.observe(this.#state);
  }

  #append(body: LeaseEntry): number {
    this.#offset += 1;
    const position = this.#offset * 1024;
    const time = this.clock.wall();
    const entry = { id: `e${this.#offset}`, position, offset: this.#offset, time, body };
    this.#state = leaseFold.apply(this.#state, entry);
    return position;
  }
}

/** Client whose readings wait, as in a process that is paused. */
class PausedClient extends EngineClient {
  #resume: () => void = () => undefined;
  readonly paused = new Promise<void>((resolve) => {
    this.#resume = resolve;
  });

  override async state(endpoint: string): ReturnType<EngineClient['state']> {
    const state = await super.state(endpoint);
    await this.paused;
    return state;
  }

  resume(): void {
    this.#resume();
  }
}

class Case {
  readonly leases = new Leases();
  readonly engine: EngineRunner;
  readonly fencing: boolean;
  readonly #clients: EngineClient[] = [];

  constructor(fencing: boolean) {
    this.fencing = fencing;
    this.engine = new EngineRunner({ id: 'm1', fencing });
  }

  orders(lease: LeaseHolder, client = new EngineClient()): EngineOrders {
    this.#clients.push(client);
    const { signal } = new AbortController();
    return new EngineOrders({
      ...{ lease, client, metrics: new Metrics(), clock: this.leases.clock, checkMs: 1000 },
      pace: new RateLimiter({ ratePerSecond: 1000, clock: new SystemClock(), signal }),
    });
  }

  async check(orders: EngineOrders, version: string): Promise<void> {
    const { service } = ticketsOf(1, { version, fencing: this.fencing }).services.quotes ?? {};
    if (!service) return;
    const labels = { service: 'quotes', version, kind: 'model' as const };
    const vm = {
      ...{ id: 'vm-1', role: 'endpoint' as const, failureDomain: 'a', machineClass: 'standard' },
      ...{ reclaimable: true, state: 'live' as const, address: this.engine.address, labels },
    };
    const view: SupplyView = {
      ...{ name: 'quotes', service, versions: [version], vms: [vm], prices: [] },
    };
    await orders.check(view, [vm], new SystemClock().monotonic() + 5000);
  }

  async placed(): Promise<readonly Order[]> {
    const answer = await got(`http://${this.engine.address}/control/orders`).json();
    return (answer as { readonly orders: readonly Order[] }).orders;
  }

  async version(): Promise<string | undefined> {
    return (await new EngineClient().state(this.engine.address)).version;
  }

  async run(body: () => Promise<void>): Promise<void> {
    await this.engine.listen();
    try {
      await body();
    } finally {
      await Promise.all(this.#clients.map((client) => client.close()));
      await this.engine.close();
    }
  }
}

/** A holder is paused after it read the engine, loses its lease, and wakes. */
async function pausedHolder(t: ExecutionContext, one: Case): Promise<void> {
  const { leases } = one;
  const [first, second] = [leases.holder('first'), leases.holder('second')];
  await leases.pass(first);
  leases.clock.advance(SETTLE_MS);
  const client = new PausedClient();
  const check = one.check(one.orders(first, client), 'v1');
  leases.clock.advance(LEASE_MS);
  await leases.pass(second);
  leases.clock.advance(SETTLE_MS);
  const orders = one.orders(second);
  await one.check(orders, 'v2');
  client.resume();
  await check;
  t.deepEqual(
    (await one.placed()).map(({ fence, applied }) => ({ fence, applied })),
    [{ fence: second.fence, applied: true }],
  );
  t.is(await one.version(), 'v2');
}

for (const fencing of [true, false]) {
  const kind = fencing ? 'that checks fencing numbers' : 'that ignores fencing numbers';

  test(`a holder paused past its lease gives an engine ${kind} no order`, async (t) => {
    const one = new Case(fencing);
    await one.run(() => pausedHolder(t, one));
  });

  test(`an engine ${kind} ends in the wanted state after a late order`, async (t) => {
    const one = new Case(fencing);
    await one.run(async () => {
      const { leases } = one;
      const [first, second] = [leases.holder('first'), leases.holder('second')];
      await leases.pass(first);
      const oldFence = first.fence ?? 0;
      leases.clock.advance(LEASE_MS);
      await leases.pass(second);
      leases.clock.advance(SETTLE_MS);
      const orders = one.orders(second);
      await one.check(orders, 'v2');
      await one.check(orders, 'v2');
      const late = { fence: oldFence, action: 'load', service: 'quotes', version: 'v1' } as const;
      const reply = await new EngineClient().order(one.engine.address, late);
      t.is(reply.kind, fencing ? 'old-fence' : 'done');
      t.is(await one.version(), fencing ? 'v2' : 'v1');
      leases.clock.advance(1000);
      await one.check(orders, 'v2');
      t.is(await one.version(), 'v2');
    });
  });
}

test('a new holder waits before it orders an engine that ignores fencing numbers', async (t) => {
  const one = new Case(false);
  await one.run(async () => {
    const holder = one.leases.holder('first');
    await one.leases.pass(holder);
    const orders = one.orders(holder);
    await one.check(orders, 'v1');
    t.is((await one.placed()).length, 0);
    one.leases.clock.advance(SETTLE_MS);
    await one.check(orders, 'v1');
    t.is(await one.version(), 'v1');
  });
});

test('an engine that serves the wanted version gets no order', async (t) => {
  const one = new Case(true);
  await one.run(async () => {
    const holder = one.leases.holder('first');
    await one.leases.pass(holder);
    for (let round = 0; round < 3; round += 1) {
      await one.check(one.orders(holder), 'v1');
    }
    t.is((await one.placed()).length, 1);
  });
});

test('after a refusal for the rate of the weight store no load is ordered for the time named', async (t) => {
  const one = new Case(true);
  await one.run(async () => {
    const holder = one.leases.holder('first');
    await one.leases.pass(holder);
    class FullStore extends EngineClient {
      orders = 0;

      override order(): ReturnType<EngineClient['order']> {
        this.orders += 1;
        return Promise.resolve({ kind: 'throttled', retryAfterMs: 3_600_000 });
      }
    }
    const store = new FullStore();
    const orders = one.orders(holder, store);
    for (let round = 0; round < 3; round += 1) await one.check(orders, 'v1');
    t.is(store.orders, 1);
  });
});
