import type { ListedVm, StartReply, StartVm } from '@ragwortrudder/supply';

/** What happens to one call. */
export type Fate = 'ok' | 'reply-lost' | 'request-lost' | 'refused' | 'throttled';

/** Cloud API that loses requests and replies; starts are idempotent by request id. */
export class FakeCloud {
  readonly #vms = new Map<string, ListedVm>();
  readonly #byRequest = new Map<string, string>();
  #listed: readonly ListedVm[] = [];
  started = 0;

  get vms(): readonly ListedVm[] {
    return [...this.#vms.values()];
  }

  /** The list as it was at the last {@link refresh}. */
  get listed(): readonly ListedVm[] {
    return this.#listed;
  }

  refresh(): void {
    this.#listed = this.vms;
  }

  start(start: StartVm, fate: Fate): StartReply {
    if (fate === 'request-lost') return { kind: 'lost' };
    if (fate === 'throttled') return { kind: 'throttled', retryAfterMs: 500 };
    const known = this.#byRequest.get(start.requestId);
    if (known === undefined && fate === 'refused') return { kind: 'refused' };
    const vmId = known ?? this.#create(start);
    return fate === 'reply-lost' ? { kind: 'lost' } : { kind: 'started', vmId };
  }

  /** Returns true when the caller learns that the VM is gone. */
  stop(vmId: string, fate: Fate): boolean {
    if (fate === 'request-lost' || fate === 'throttled') return false;
    this.#vms.delete(vmId);
    return fate !== 'reply-lost';
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
