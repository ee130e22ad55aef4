import type { Clock } from '@ragwortrudder/core';
import got from 'got';
import * as z from 'zod';
import type { HttpCall } from '../types/http-call.ts';
import type { HttpReply } from '../types/http-reply.ts';
import type { ReclaimNotice } from '../types/reclaim-notice.ts';
import { SpareRunner } from '../types/spare-runner.ts';
import { VmLabels } from '../types/vm-labels.ts';
import type { VmRecord } from '../types/vm-record.ts';
import { LaggingValue } from '../utils/lagging-value.ts';
import { RateLimit } from '../utils/rate-limit.ts';
import { SparePool } from '../utils/spare-pool.ts';
import { parseBody } from './parse-body.ts';

interface PlatformVmsOptions {
  readonly clock: Clock;
  readonly lagMs: number;
  readonly cloudCallsPerSecond: number;
  readonly capacity: number;
  readonly vmStartMs: number;
}

const FAULT_TIMEOUT_MS = 1000;
const vmRequestSchema = z.object({
  requestId: z.string().min(1),
  failureDomain: z.string(),
  machineClass: z.string(),
  reclaimable: z.boolean(),
  labels: VmLabels.default({}),
});
const vmRegistrationSchema = z.object({
  id: z.string().min(1),
  role: z.enum(['entry', 'endpoint']).default('endpoint'),
  failureDomain: z.string(),
  machineClass: z.string().default('standard'),
  reclaimable: z.boolean().default(true),
  state: z.enum(['live', 'leaving']).default('live'),
  address: z.string().default(''),
  labels: VmLabels.default({}),
  atOnce: z.boolean().default(false),
});
const reclaimSchema = z.object({
  vmId: z.string(),
  noticeMs: z.number().nonnegative(),
  kill: z.boolean().default(true),
});
const spareListSchema = z.object({ spares: z.array(SpareRunner) });
const capacitySchema = z.object({ failureDomain: z.string(), capacity: z.number().nonnegative() });

/** Cloud API, lagging list of VMs and reclaim notices. */
export class PlatformVms {
  readonly #options: PlatformVmsOptions;
  readonly #list: LaggingValue<ReadonlyMap<string, VmRecord>>;
  readonly #vmIdsByRequest = new Map<string, string>();
  readonly #capacities = new Map<string, number>();
  readonly #rate: RateLimit;
  readonly #timers = new Set<NodeJS.Timeout>();
  readonly #spares = new SparePool();
  #notices: readonly ReclaimNotice[] = [];

  constructor(options: PlatformVmsOptions) {
    this.#options = options;
    this.#list = new LaggingValue(new Map(), options.lagMs, options.clock);
    this.#rate = new RateLimit(options.cloudCallsPerSecond, options.clock);
  }

  close(): void {
    for (const timer of this.#timers) clearTimeout(timer);
  }

  list(): HttpReply {
    return { status: 200, body: { vms: [...this.#list.get().values()] } };
  }

  /** Replies with the current list of VMs, without lag. */
  dump(): HttpReply {
    return { status: 200, body: { vms: [...this.#list.latest().values()] } };
  }

  start(call: HttpCall): HttpReply {
    const { requestId, ...vmSpec } = parseBody(vmRequestSchema, call.body);
    const existingId = this.#vmIdsByRequest.get(requestId);
    if (!this.#rate.take()) return this.#rateLimited();
    if (existingId) return { status: 201, body: { id: existingId } };
    if (!this.#hasCapacity(vmSpec.failureDomain)) {
      return { status: 409, body: { code: 'no-capacity' } };
    }
    const id = `vm-${this.#vmIdsByRequest.size + 1}`;
    this.#vmIdsByRequest.set(requestId, id);
    this.#startVm({ id, role: 'endpoint', state: 'live', address: '', ...vmSpec });
    return { status: 201, body: { id } };
  }

  find(call: HttpCall): HttpReply {
    if (!this.#rate.take()) return this.#rateLimited();
    const id = this.#vmIdsByRequest.get(call.params.requestId ?? '');
    if (!id) return { status: 404, body: { code: 'unknown-request' } };
    return { status: 200, body: { id } };
  }

  stop(call: HttpCall): HttpReply {
    if (!this.#rate.take()) return this.#rateLimited();
    this.#remove(call.params.id ?? '');
    return { status: 200, body: {} };
  }

  notices(call: HttpCall): HttpReply {
    const after = Number(call.query.get('after') ?? 0);
    const notices = this.#notices.filter((notice) => notice.seq > after);
    return { status: 200, body: { notices, next: this.#notices.length } };
  }

  /** Adds or updates a VM; the change is listed immediately if `atOnce` is set, otherwise after the lag. */
  register(call: HttpCall): HttpReply {
    const { atOnce, ...vm } = parseBody(vmRegistrationSchema, call.body);
    this.#setVm(vm);
    if (atOnce) this.#list.setImmediately((vms) => new Map(vms).set(vm.id, vm));
    return { status: 200, body: { id: vm.id } };
  }

  /** Adds spare runners, which refuse connections until the cloud API starts a VM for them. */
  async addSpares(call: HttpCall): Promise<HttpReply> {
    const added = parseBody(spareListSchema, call.body).spares;
    await Promise.all(
      added.map((spare) => this.#post(`${spare.control}/faults`, { refuse: true })),
    );
    this.#spares.add(added);
    return { status: 200, body: {} };
  }

  setCapacity(call: HttpCall): HttpReply {
    const change = parseBody(capacitySchema, call.body);
    this.#capacities.set(change.failureDomain, change.capacity);
    return { status: 200, body: {} };
  }

  /**
   * Issues a reclaim notice, informs the runner on the VM and removes the VM at the deadline. If `kill` is set, the runner
   * then refuses connections.
   */
  async reclaim(call: HttpCall): Promise<HttpReply> {
    const { vmId, noticeMs, kill } = parseBody(reclaimSchema, call.body);
    const vm = this.#list.latest().get(vmId);
    if (!vm) return { status: 404, body: { code: 'unknown-vm' } };
    const deadline = this.#options.clock.wall() + noticeMs;
    const notice = { seq: this.#notices.length + 1, vmId, deadline };
    this.#notices = [...this.#notices, notice];
    this.#setVm({ ...vm, state: 'leaving' });
    this.#schedule(noticeMs, () => {
      this.#remove(vmId);
      if (kill) void this.#setRunnerFault(vm, { refuse: true });
    });
    await this.#setRunnerFault(vm, { leaving: true });
    return { status: 200, body: notice };
  }

  async #setRunnerFault(vm: VmRecord, fault: unknown): Promise<void> {
    if (vm.role !== 'endpoint' || vm.address === '') return;
    await this.#post(`http://${vm.address}/faults`, fault);
  }

  async #post(url: string, json: unknown): Promise<void> {
    const options = { json, retry: { limit: 0 }, timeout: { request: FAULT_TIMEOUT_MS } };
    await got.post(url, options).catch(() => undefined);
  }

  /** Starts a VM. If a spare runner matches, it serves and its address is listed after `vmStartMs`. */
  #startVm(vm: VmRecord): void {
    this.#setVm(vm);
    const spare = this.#spares.take(vm);
    if (!spare) return;
    this.#schedule(this.#options.vmStartMs, () => {
      const started = this.#list.latest().get(vm.id);
      if (!started) return;
      this.#setVm({ ...started, address: spare.address });
      void this.#post(`${spare.control}/faults`, { refuse: false, leaving: false });
    });
  }

  #schedule(ms: number, action: () => void): void {
    const timer = setTimeout(() => {
      this.#timers.delete(timer);
      action();
    }, ms);
    this.#timers.add(timer);
  }

  #setVm(vm: VmRecord): void {
    this.#list.set(new Map(this.#list.latest()).set(vm.id, vm));
  }

  #remove(id: string): void {
    const vms = new Map(this.#list.latest());
    if (!vms.delete(id)) return;
    this.#list.set(vms);
    const spare = this.#spares.release(id);
    if (spare) void this.#post(`${spare.control}/faults`, { refuse: true });
  }

  #hasCapacity(failureDomain: string): boolean {
    const used = [...this.#vmIdsByRequest.values()].filter(
      (id) => this.#list.latest().get(id)?.failureDomain === failureDomain,
    ).length;
    return used < (this.#capacities.get(failureDomain) ?? this.#options.capacity);
  }

  #rateLimited(): HttpReply {
    return { status: 429, body: { code: 'cloud-rate' }, headers: { 'retry-after': '1' } };
  }
}
