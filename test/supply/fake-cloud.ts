import type { ListedVm, StartReply, StartVm } from '@ragwortrudder/supply';

/** Outcome of one API call. */
export type CallOutcome = 'ok' | 'reply-lost' | 'request-lost' | 'refused' | 'throttled';

/** Fake cloud API that can lose requests and replies; starts are idempotent by request id. */
export class FakeCloud {
  readonly #vms = new Map<string, ListedVm>();
  readonly #byRequest = new Map<string, string>();
  #listed: readonly ListedVm[] = [];
  started = 0;

  get vms(): readonly ListedVm[] {
    return [...this.#vms.values()];
  }

  /** The VM list as of the last {@link refresh}. */
  get listed(): readonly ListedVm[] {
    return this.#listed;
  }

  refresh(): void {
    this.#listed = this.vms;
  }

  start(start: StartVm, outcome: CallOutcome): StartReply {
    if (outcome === 'request-lost') return { kind: 'lost' };
    if (outcome === 'throttled') return { kind: 'throttled', retryAfterMs: 500 };
    const known = this.#byRequest.get(start.requestId);
    if (known === undefined && outcome === 'refused') return { kind: 'refused' };
    const vmId = known ?? this.#create(start);
    return outcome === 'reply-lost' ? { kind: 'lost' } : { kind: 'started', vmId };
  }

  /** Returns whether the caller receives the confirmation that the VM is gone. */
  stop(vmId: string, outcome: CallOutcome): boolean {
    if (outcome === 'request-lost' || outcome === 'throttled') return false;
    this.#vms.delete(vmId);
    return outcome !== 'reply-lost';
  }

  reclaim(index: number): void {
    const vm = this.vms[index % Math.max(1, this.#vms.size)];
    if (vm?.reclaimable) this.#vms.delete(vm.id);
  }

  #create(start: StartVm): string {
    const id = `vm-${this.started}`;
    this.started += 1;
    const { failureDomain, machineClass, reclaimable, labels } = start;
    this.#vms.set(id, { id, failureDomain, machineClass, reclaimable, labels, state: 'live' });
    this.#byRequest.set(start.requestId, id);
    return id;
  }
}
