import type { Fleet, Price, VmRecord } from '@ragwortrudder/standins';
import got from 'got';
import type { SupplyEvent } from '../types/supply-event.ts';

const NOTICE_MS = 2000;
const TIMEOUT_MS = 2000;
const PLENTY = 1000;

interface Held {
  readonly heldVms: number;
  readonly pendingStarts: number;
  readonly returningVms: number;
}

/** Governs the platform of a supply experiment and looks at it from outside. */
export class SupplyControl {
  readonly #fleet: Fleet;
  readonly #timers = new Set<NodeJS.Timeout>();
  #prices: readonly Price[];

  constructor(fleet: Fleet, prices: readonly Price[]) {
    this.#fleet = fleet;
    this.#prices = prices;
  }

  /** Prices in force. */
  get prices(): readonly Price[] {
    return this.#prices;
  }

  /** Endpoint VMs that exist now. */
  async vms(): Promise<readonly VmRecord[]> {
    const answer = await got(`http://${this.#fleet.platformAddress}/control/vms`).json();
    const { vms } = answer as { readonly vms: readonly VmRecord[] };
    return vms.filter(({ role }) => role === 'endpoint');
  }

  /** VMs that the holder of the job knows of; undefined while there is none. */
  async known(): Promise<number | undefined> {
    const statuses = await Promise.all(
      this.#fleet.entries.map(({ address }) => this.#held(address)),
    );
    const held = statuses.flat()[0];
    return held && held.heldVms + held.pendingStarts + held.returningVms;
  }

  /** Brings about `event`. */
  async bringAbout(event: SupplyEvent): Promise<void> {
    switch (event.kind) {
      case 'prices':
        this.#prices = event.prices;
        return this.#post('prices', { prices: event.prices });
      case 'wave':
        return this.#reclaim(event.failureDomain);
      case 'refuse':
        return this.#refuse(event.failureDomain, event.forMs);
      case 'reply-lost':
        return this.#fleet.platformFault({
          target: 'cloud',
          mode: 'reply-lost',
          count: event.count,
        });
      case 'outage':
        await this.#fleet.platformFault({ target: 'cloud', mode: 'down' });
        this.#later(event.forMs, () => this.#fleet.platformFault({ target: 'cloud', mode: 'ok' }));
        return;
      case 'kill-holder':
        return this.#killHolder();
    }
  }

  close(): void {
    for (const timer of this.#timers) clearTimeout(timer);
  }

  async #reclaim(failureDomain: string): Promise<void> {
    const vms = await this.vms();
    const struck = vms.filter(
      (vm) => vm.reclaimable && vm.failureDomain === failureDomain && vm.state === 'live',
    );
    await Promise.all(struck.map(({ id }) => this.#fleet.reclaim(id, { noticeMs: NOTICE_MS })));
  }

  async #refuse(failureDomain: string, forMs: number): Promise<void> {
    await this.#post('capacity', { failureDomain, capacity: 0 });
    this.#later(forMs, () => this.#post('capacity', { failureDomain, capacity: PLENTY }));
  }

  async #killHolder(): Promise<void> {
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

  async #held(address: string): Promise<readonly Held[]> {
    try {
      const answer = await got(`http://${address}/v1/status`, {
        headers: { authorization: `Bearer ${this.#fleet.operator.key}` },
        timeout: { request: TIMEOUT_MS },
        retry: { limit: 0 },
      }).json();
      return (answer as { readonly supply: readonly Held[] }).supply;
    } catch {
      return [];
    }
  }

  async #post(path: string, json: object): Promise<void> {
    await got.post(`http://${this.#fleet.platformAddress}/control/${path}`, { json });
  }

  #later(ms: number, action: () => Promise<void>): void {
    const timer = setTimeout(() => {
      this.#timers.delete(timer);
      void action();
    }, ms);
    this.#timers.add(timer);
  }
}
