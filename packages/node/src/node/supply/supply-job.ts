import { ReclaimHistory } from '@ragwortrudder/supply';
import type { VmKind } from '@ragwortrudder/supply';
import type { Vm } from '@ragwortrudder/platform';
import type { SupplyStatus } from '../../types/supply-status.ts';
import type { SupplyView } from '../../types/supply-view.ts';
import { SupplyTerm } from './supply-term.ts';
import type { SupplyTermOptions } from './supply-term-options.ts';

type SupplyJobOptions = Omit<SupplyTermOptions, 'fence' | 'earlierFences' | 'history' | 'jobs'>;

interface TermContext {
  readonly earlierFences: readonly number[];
  /** Number of supply jobs that share the platform's rate limits. */
  readonly jobs: number;
}

/** Supplies one service with VMs while this node holds the lease of the job. */
export class SupplyJob {
  readonly #options: SupplyJobOptions;
  readonly #history = new ReclaimHistory();
  #lastLiveVms = new Map<string, Vm>();
  #term: SupplyTerm | undefined;

  constructor(options: SupplyJobOptions) {
    this.#options = options;
  }

  /** Advances the current term if the lease is held; a new fencing number begins a new term. */
  async step(view: SupplyView, { earlierFences, jobs }: TermContext): Promise<void> {
    const { lease, clock } = this.#options;
    const { fence } = lease;
    if (fence === undefined || !lease.mayAct()) return;
    if (this.#term?.fence !== fence) {
      this.#lastLiveVms.clear();
      this.#history.observe([], [], clock.wall());
      const history = this.#history;
      this.#term = new SupplyTerm({ ...this.#options, fence, earlierFences, history, jobs });
    }
    this.#observe(view.vms);
    await this.#term.step(view);
  }

  /** Status of the current term; undefined without a lease. */
  get status(): SupplyStatus | undefined {
    return this.#options.lease.mayAct() ? this.#term?.status : undefined;
  }

  /** Records the live VMs, and those that disappeared without being returned, in the history. */
  #observe(vms: readonly Vm[]): void {
    const { returning, clock } = this.#options;
    const live = vms.filter(({ state }) => state === 'live');
    const liveVms = new Map(live.map((vm) => [vm.id, vm]));
    const lost = [...this.#lastLiveVms.values()].filter(
      ({ id }) => !liveVms.has(id) && !returning.has(id),
    );
    this.#history.observe(live, lost satisfies readonly VmKind[], clock.wall());
    this.#lastLiveVms = liveVms;
  }
}
