import { setTimeout as delay } from 'node:timers/promises';
import { SystemClock } from '@ragwortrudder/core';
import type { Clock, Closeable } from '@ragwortrudder/core';
import * as z from 'zod';
import type { FaultTarget } from '../types/fault-target.ts';
import type { HttpHandler } from '../types/http-handler.ts';
import type { HttpReply } from '../types/http-reply.ts';
import type { PlatformOptions } from '../types/platform-options.ts';
import { PlatformFault } from '../types/platform-fault.ts';
import { Price } from '../types/price.ts';
import { Retention } from '../types/retention.ts';
import { FaultRegistry } from '../utils/fault-registry.ts';
import { RateLimit } from '../utils/rate-limit.ts';
import { HttpServer } from './http-server.ts';
import { parseBody } from './parse-body.ts';
import { PlatformLog } from './platform-log.ts';
import { PlatformVms } from './platform-vms.ts';

const DEFAULT_DELAY_MS = 1000;
const DEFAULT_RECORD_LIMIT_BYTES = 256 * 1024;
const pricesSchema = z.object({ prices: z.array(Price) });

/** Stand-in for the platform: log, list of VMs, cloud API, notices, prices and weight store, with fault injection. */
export class Platform implements Closeable {
  readonly #server = new HttpServer('platform');
  readonly #clock: Clock = new SystemClock();
  readonly #faults = new FaultRegistry();
  readonly #options: PlatformOptions;
  readonly #log: PlatformLog;
  readonly #vms: PlatformVms;
  readonly #weightRate: RateLimit;
  #prices: readonly Price[];

  constructor(options: PlatformOptions = {}) {
    this.#options = options;
    this.#prices = options.prices ?? [];
    this.#weightRate = new RateLimit(options.weightReadsPerSecond ?? 5, this.#clock);
    this.#log = new PlatformLog({
      clock: this.#clock,
      appendsPerSecond: options.appendsPerSecond ?? 300,
      recordLimitBytes: options.recordLimitBytes ?? DEFAULT_RECORD_LIMIT_BYTES,
      retention: options.retention ?? {},
    });
    this.#vms = new PlatformVms({
      clock: this.#clock,
      lagMs: options.vmLagMs ?? 2000,
      cloudCallsPerSecond: options.cloudCallsPerSecond ?? 10,
      capacity: options.capacity ?? 1000,
      vmStartMs: options.vmStartMs ?? 0,
    });
    this.#addRoutes();
    this.#addControlRoutes();
  }

  get address(): string {
    return this.#server.address;
  }

  get port(): number {
    return this.#server.port;
  }

  async listen(): Promise<void> {
    await this.#server.listen(this.#options.host, this.#options.port);
  }

  async drain(graceMs: number): Promise<void> {
    await this.#server.drain(graceMs);
    this.#vms.close();
  }

  async close(): Promise<void> {
    this.#vms.close();
    await this.#server.close();
  }

  #addRoutes(): void {
    const server = this.#server;
    server.post(
      '/log/:stream/records',
      this.#withFault('log.append', (call) => this.#log.append(call)),
    );
    server.get(
      '/log/:stream/records',
      this.#withFault('log.read', (call) => this.#log.read(call)),
    );
    server.get(
      '/vms',
      this.#withFault('vms', () => this.#vms.list()),
    );
    server.post(
      '/vms',
      this.#withFault('cloud', (call) => this.#vms.start(call)),
    );
    server.get(
      '/vms/requests/:requestId',
      this.#withFault('cloud', (call) => this.#vms.find(call)),
    );
    server.delete(
      '/vms/:id',
      this.#withFault('cloud', (call) => this.#vms.stop(call)),
    );
    server.get(
      '/notices',
      this.#withFault('notices', (call) => this.#vms.notices(call)),
    );
    server.get('/prices', () => ({ status: 200, body: { prices: this.#prices } }));
    server.get(
      '/weights/:name',
      this.#withFault('weights', (call) => this.#weights(call.params.name ?? '')),
    );
  }

  #addControlRoutes(): void {
    const server = this.#server;
    server.post('/control/faults', (call) => {
      this.#faults.set(parseBody(PlatformFault, call.body));
      return { status: 200, body: {} };
    });
    server.post('/control/retention', (call) => {
      this.#log.setRetention(parseBody(Retention, call.body));
      return { status: 200, body: {} };
    });
    server.post('/control/prices', (call) => {
      this.#prices = parseBody(pricesSchema, call.body).prices;
      return { status: 200, body: {} };
    });
    server.post('/control/vms', (call) => this.#vms.register(call));
    server.get('/control/vms', () => this.#vms.dump());
    server.post('/control/spares', (call) => this.#vms.addSpares(call));
    server.post('/control/capacity', (call) => this.#vms.setCapacity(call));
    server.post('/control/reclaim', (call) => this.#vms.reclaim(call));
    server.get('/control/log/:stream', (call) => ({
      status: 200,
      body: { records: this.#log.dump(call.params.stream ?? '') },
    }));
  }

  #weights(name: string): HttpReply {
    if (this.#weightRate.take())
      return { status: 200, body: { name, weights: `weights of ${name}` } };
    return { status: 429, body: { code: 'weight-rate' }, headers: { 'retry-after': '1' } };
  }

  #withFault(target: FaultTarget, handler: HttpHandler): HttpHandler {
    return async (call) => {
      const { mode, delayMs } = this.#faults.take(target);
      if (mode === 'hang') return undefined;
      if (mode === 'down') {
        return { status: 503, body: { code: 'outage' }, headers: { 'retry-after': '1' } };
      }
      if (mode === 'slow') await delay(delayMs ?? DEFAULT_DELAY_MS, undefined, { ref: false });
      const reply = await handler(call);
      if (mode !== 'reply-lost') return reply;
      call.request.socket.destroy();
      return undefined;
    };
  }
}
