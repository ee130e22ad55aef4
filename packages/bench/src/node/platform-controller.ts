import type { Fleet, Price, VmRecord } from '@ragwortrudder/standins';
import got from 'got';
import type { SupplyEvent } from '../types/supply-event.ts';

const NOTICE_MS = 2000;
const TIMEOUT_MS = 2000;
const AMPLE_CAPACITY = 1000;

interface SupplyCounts {
  readonly heldVms: number;
  readonly pendingStarts: number;
  readonly returningVms: number;
}

/**
 * Applies supply events to the platform of a fleet, and reads its VMs and the supply status of its
 * nodes.
 */
export class PlatformController {
  readonly #fleet: Fleet;
  readonly #timers = new Set<NodeJS.Timeout>();
  #prices: readonly Price[];

  constructor(fleet: Fleet, prices: readonly Price[]) {
    this.#fleet = fleet;
    this.#prices = prices;
  }

  /** Current prices. */
  get prices(): readonly Price[] {
    return this.#prices;
  }

  /** Returns the endpoint VMs that currently exist. */
  async vms(): Promise<readonly VmRecord[]> {
    const answer = await got(`http://${this.#fleet.platformAddress}/control/vms`).json();
    const { vms } = answer as { readonly vms: readonly VmRecord[] };
    return vms.filter(({ role }) => role === 'endpoint');
  }

  /**
   * Returns how many VMs the supply lease holder accounts for, or undefined when no node holds the
   * lease.
   */
  async knownVmCount(): Promise<number | undefined> {
    const statuses = await Promise.all(
      this.#fleet.entries.map(({ address }) => this.#fetchCounts(address)),
    );
    const holderCounts = statuses.flat()[0];
    return (
      holderCounts && holderCounts.heldVms + holderCounts.pendingStarts + holderCounts.returningVms
    );
  }

  async apply(event: SupplyEvent): Promise<void> {
    switch (event.kind) {
      case 'prices':
        this.#prices = event.prices;
        return this.#post('prices', { prices: event.prices });
      case 'wave':
        return this.#reclaimDomain(event.failureDomain);
      case 'refuse':
        return this.#refuseCapacity(event.failureDomain, event.forMs);
      case 'reply-lost':
        return this.#fleet.platformFault({
          target: 'cloud',
          mode: 'reply-lost',
          count: event.count,
        });
      case 'outage':
        await this.#fleet.platformFault({ target: 'cloud', mode: 'down' });
        this.#schedule(event.forMs, () =>
          this.#fleet.platformFault({ target: 'cloud', mode: 'ok' }),
        );
        return;
      case 'kill-holder':
        return this.#killLeaseHolder();
    }
  }

  close(): void {
    for (const timer of this.#timers) clearTimeout(timer);
  }

  async #reclaimDomain(failureDomain: string): Promise<void> {
    const vms = await this.vms();
    const affected = vms.filter(
      (vm) => vm.reclaimable && vm.failureDomain === failureDomain && vm.state === 'live',
    );
    await Promise.all(affected.map(({ id }) => this.#fleet.reclaim(id, { noticeMs: NOTICE_MS })));
  }

  async #refuseCapacity(failureDomain: string, forMs: number): Promise<void> {
    await this.#post('capacity', { failureDomain, capacity: 0 });
    this.#schedule(forMs, () =>
      this.#post('capacity', { failureDomain, capacity: AMPLE_CAPACITY }),
    );
  }

  async #killLeaseHolder(): Promise<void> {
    const records = await this.#fleet.log('leases');
    const holders = records.flatMap(({ body }) => {
      const { entries = [] } = body as {
        readonly entries?: readonly { readonly body: { readonly holder?: string } }[];
      };
      return entries.flatMap((entry) => entry.body.holder ?? []);
    });
    const name = holders.at(-1)?.split('/')[0];
    if (name !== undefined) await this.#fleet.restart(name, 'SIGKILL');
  }

  async #fetchCounts(address: string): Promise<readonly SupplyCounts[]> {
    try {
      const answer = await got(`http://${address}/v1/status`, {
        headers: { authorization: `Bearer ${this.#fleet.operator.key}` },
        timeout: { request: TIMEOUT_MS },
        retry: { limit: 0 },
      }).json();
      return (answer as { readonly supply: readonly SupplyCounts[] }).supply;
    } catch {
      return [];
    }
  }

  async #post(path: string, json: object): Promise<void> {
    await got.post(`http://${this.#fleet.platformAddress}/control/${path}`, { json });
  }

  #schedule(ms: number, action: () => Promise<void>): void {
    const timer = setTimeout(() => {
      this.#timers.delete(timer);
      void action();
    }, ms);
    this.#timers.add(timer);
  }
}
