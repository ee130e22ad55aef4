import { setTimeout as sleep } from 'node:timers/promises';
import { createDaemon } from '@ragwortrudder/node';
import type { Daemon } from '@ragwortrudder/node';
import { checkSettings } from '@ragwortrudder/settings';
import { ApplicationRunner, EngineRunner, Platform } from '@ragwortrudder/standins';

const READY_PERIOD_MS = 20;

export const TENANT_KEY = 'tenant-key-of-the-tests';
export const OTHER_TENANT_KEY = 'other-tenant-key-of-tests';
export const OPERATOR_KEY = 'operator-key-of-the-tests';
export const PEER_KEY = 'peer-key-of-the-api-tests';

const service = (kind: string, idempotent: boolean): unknown => ({
  ...{ kind, idempotent, version: 'v1', fencing: true, classes: ['interactive', 'batch'] },
});
const TICKET = {
  number: 1,
  against: 0,
  services: {
    quotes: service('model', true),
    stock: service('application', true),
    orders: service('application', false),
  },
  tenants: {
    acme: { weight: 1, maxConcurrent: 50, maxQueued: 50 },
    other: { weight: 1, maxConcurrent: 50, maxQueued: 50 },
  },
};

interface TestNodeOptions {
  readonly limits?: Readonly<Record<string, number>>;
}

/**
 * In-process node with a platform stand-in, one model runner and two application runners, ready to
 * serve.
 */
export class TestNode {
  readonly engine = new EngineRunner({ id: 'engine', stepMs: 1 });
  readonly stock = new ApplicationRunner({ id: 'stock' });
  readonly orders = new ApplicationRunner({ id: 'orders' });
  readonly #platform: Platform;
  readonly #daemon: Daemon;

  private constructor(platform: Platform, daemon: Daemon) {
    this.#platform = platform;
    this.#daemon = daemon;
  }

  static async start({ limits = {} }: TestNodeOptions = {}): Promise<TestNode> {
    const platform = new Platform({ vmLagMs: 0 });
    await platform.listen();
    const settings = checkSettings(
      JSON.stringify({
        node: { id: 'entry-1', failureDomain: 'a' },
        listen: { callers: { port: 0 }, peers: { port: 0 } },
        advertise: { callers: '127.0.0.1:7400', peers: '127.0.0.1:7401' },
        platform: { url: `http://${platform.address}` },
        keys: {
          peer: PEER_KEY,
          operators: [{ name: 'operator', key: OPERATOR_KEY }],
          tenants: [
            { tenant: 'acme', key: TENANT_KEY },
            { tenant: 'other', key: OTHER_TENANT_KEY },
          ],
        },
        limits,
        runners: { directoryPeriodMs: 50 },
        shutdown: { graceMs: 500, handOverMs: 200 },
      }),
    );
    const node = new TestNode(platform, createDaemon({ settings }));
    await node.#startServing();
    return node;
  }

  /** Base URL of the callers port. */
  get url(): string {
    return `http://127.0.0.1:${this.callersPort}`;
  }

  get callersPort(): number {
    return this.#daemon.ports.callers;
  }

  get peersPort(): number {
    return this.#daemon.ports.peers;
  }

  async call(path: string, init: RequestInit = {}, key?: string): Promise<Response> {
    const headers = new Headers(init.headers);
    if (key !== undefined) headers.set('authorization', `Bearer ${key}`);
    return fetch(`${this.url}${path}`, { ...init, headers });
  }

  /** Sends a valid request to the application; throws unless it succeeds. */
  async checkServes(): Promise<void> {
    const body = JSON.stringify({ operation: 'stock', payload: { article: 'mop' } });
    const headers = { accept: 'application/json' };
    const path = '/v1/services/stock/requests';
    const answer = await this.call(path, { method: 'POST', body, headers }, TENANT_KEY);
    const text = await answer.text();
    if (answer.status !== 200) throw new TypeError(`${answer.status}: ${text}`);
  }

  /** Values of a counter by the value of its label, read from `GET /metrics`. */
  async counter(name: string): Promise<ReadonlyMap<string, number>> {
    const text = await (await this.call('/metrics', {}, OPERATOR_KEY)).text();
    const pattern = new RegExp(`^ragwortrudder_${name}_total\\{[^}]*?"([^"]*)"\\} (\\d+)$`, 'gm');
    return new Map(
      [...text.matchAll(pattern)].map(([, label = '', value]) => [label, Number(value)]),
    );
  }

  async close(): Promise<void> {
    await this.#daemon.stop();
    await Promise.all([this.engine, this.stock, this.orders].map((runner) => runner.close()));
    await this.#platform.close();
  }

  async #startServing(): Promise<void> {
    await this.#register(this.engine, 'quotes', 'model');
    await this.#register(this.stock, 'stock', 'application');
    await this.#register(this.orders, 'orders', 'application');
    await this.#daemon.start();
    await this.#until(async () => (await this.call('/ready')).ok);
    const body = JSON.stringify(TICKET);
    await this.call('/v1/tickets', { method: 'POST', body }, OPERATOR_KEY);
    await this.#until(async () => {
      const status = await (await this.call('/v1/status', {}, OPERATOR_KEY)).json();
      return (status as { readonly runners: readonly unknown[] }).runners.length === 3;
    });
  }

  async #register(
    runner: EngineRunner | ApplicationRunner,
    name: string,
    kind: 'model' | 'application',
  ): Promise<void> {
    await runner.listen();
    const vm = {
      ...{ id: `vm-${name}`, failureDomain: 'a', address: runner.address, atOnce: true },
      labels: { service: name, version: 'v1', kind },
    };
    const url = `http://${this.#platform.address}/control/vms`;
    await fetch(url, { method: 'POST', body: JSON.stringify(vm) });
  }

  async #until(condition: () => Promise<boolean>): Promise<void> {
    while (!(await condition())) await sleep(READY_PERIOD_MS);
  }
}
