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
import { ticketsOf } from './supply-harness.ts';

const LEASE_MS = 10_000;
const SETTLE_MS = 3000;
const JOB = 'supply/quotes';

interface Order {
  readonly fence: number;
  readonly action: string;
  readonly applied: boolean;
}

/** In-memory stream of leases; entries take effect immediately. */
class InMemoryLeases {
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

  /** Grants the lease to `holder`; the previous lease must have ended. */
  async grant(holder: LeaseHolder): Promise<void> {
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

/** Client that withholds the state it has read until it is resumed, like a paused process. */
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

class EngineHarness {
  readonly leases = new InMemoryLeases();
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

  async receivedOrders(): Promise<readonly Order[]> {
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

/** A holder is paused after it has read the engine's state, loses its lease, and resumes. */
async function checkPausedHolder(t: ExecutionContext, harness: EngineHarness): Promise<void> {
  const { leases } = harness;
  const [first, second] = [leases.holder('first'), leases.holder('second')];
  await leases.grant(first);
  leases.clock.advance(SETTLE_MS);
  const client = new PausedClient();
  const check = harness.check(harness.orders(first, client), 'v1');
  leases.clock.advance(LEASE_MS);
  await leases.grant(second);
  leases.clock.advance(SETTLE_MS);
  const orders = harness.orders(second);
  await harness.check(orders, 'v2');
  client.resume();
  await check;
  t.deepEqual(
    (await harness.receivedOrders()).map(({ fence, applied }) => ({ fence, applied })),
    [{ fence: second.fence, applied: true }],
  );
  t.is(await harness.version(), 'v2');
}

for (const fencing of [true, false]) {
  const kind = fencing ? 'that checks fencing numbers' : 'that ignores fencing numbers';

  test(`a holder that was paused beyond its lease sends no order to an engine ${kind}`, async (t) => {
    const harness = new EngineHarness(fencing);
    await harness.run(() => checkPausedHolder(t, harness));
  });

  test(`an engine ${kind} reaches the desired state after a late order of an earlier holder`, async (t) => {
    const harness = new EngineHarness(fencing);
    await harness.run(async () => {
      const { leases } = harness;
      const [first, second] = [leases.holder('first'), leases.holder('second')];
      await leases.grant(first);
      const oldFence = first.fence ?? 0;
      leases.clock.advance(LEASE_MS);
      await leases.grant(second);
      leases.clock.advance(SETTLE_MS);
      const orders = harness.orders(second);
      await harness.check(orders, 'v2');
      await harness.check(orders, 'v2');
      const lateOrder = {
        fence: oldFence,
        action: 'load',
        service: 'quotes',
        version: 'v1',
      } as const;
      const reply = await new EngineClient().order(harness.engine.address, lateOrder);
      t.is(reply.kind, fencing ? 'old-fence' : 'done');
      t.is(await harness.version(), fencing ? 'v2' : 'v1');
      leases.clock.advance(1000);
      await harness.check(orders, 'v2');
      t.is(await harness.version(), 'v2');
    });
  });
}

test('a new holder waits for the settle time before it sends orders to an engine that ignores fencing numbers', async (t) => {
  const harness = new EngineHarness(false);
  await harness.run(async () => {
    const holder = harness.leases.holder('first');
    await harness.leases.grant(holder);
    const orders = harness.orders(holder);
    await harness.check(orders, 'v1');
    t.is((await harness.receivedOrders()).length, 0);
    harness.leases.clock.advance(SETTLE_MS);
    await harness.check(orders, 'v1');
    t.is(await harness.version(), 'v1');
  });
});

test('an engine that already serves the desired version receives no further order', async (t) => {
  const harness = new EngineHarness(true);
  await harness.run(async () => {
    const holder = harness.leases.holder('first');
    await harness.leases.grant(holder);
    for (let round = 0; round < 3; round += 1) {
      await harness.check(harness.orders(holder), 'v1');
    }
    t.is((await harness.receivedOrders()).length, 1);
  });
});

test('after a throttled reply no load is ordered until the stated delay has passed', async (t) => {
  const harness = new EngineHarness(true);
  await harness.run(async () => {
    const holder = harness.leases.holder('first');
    await harness.leases.grant(holder);
    class ThrottledClient extends EngineClient {
      orders = 0;

      override order(): ReturnType<EngineClient['order']> {
        this.orders += 1;
        return Promise.resolve({ kind: 'throttled', retryAfterMs: 3_600_000 });
      }
    }
    const throttledClient = new ThrottledClient();
    const orders = harness.orders(holder, throttledClient);
    for (let round = 0; round < 3; round += 1) await harness.check(orders, 'v1');
    t.is(throttledClient.orders, 1);
  });
});
