import type { Vm } from '@ragwortrudder/platform';
import { SupplyLedger, protectedUnits } from '@ragwortrudder/supply';
import type { ListedVm, SupplyVm } from '@ragwortrudder/supply';
import type { SupplyStatus } from '../../types/supply-status.ts';
import type { SupplyView } from '../../types/supply-view.ts';
import { Pace } from '../../utils/pace.ts';
import { supplyDemands } from '../../utils/supply-demands.ts';
import type { SupplyTermOptions } from './supply-term-options.ts';
import { BootWatch } from './boot-watch.ts';
import { EngineOrders } from './engine-orders.ts';
import { PredecessorStarts } from './predecessor-starts.ts';
import { VmReturns } from './vm-returns.ts';
import { VmStarts } from './vm-starts.ts';

/** One term of the supply job of a service: everything that is done under one fencing number. */
export class SupplyTerm {
  readonly fence: number;
  readonly #options: SupplyTermOptions;
  readonly #epoch: string;
  readonly #ledger: SupplyLedger;
  readonly #predecessors: PredecessorStarts;
  readonly #starts: VmStarts;
  readonly #returns: VmReturns;
  readonly #orders: EngineOrders;
  readonly #boots: BootWatch;
  #isRecovered = false;
  #current: readonly SupplyVm[] = [];
  #view: SupplyView | undefined;

  constructor(options: SupplyTermOptions) {
    const { service, fence, settings, jobs, clock, signal } = options;
    this.fence = fence;
    this.#options = options;
    this.#epoch = epochOf(service, fence);
    this.#ledger = new SupplyLedger({ returnAfterMs: settings.returnAfterMs });
    const paceOf = (ratePerSecond: number): Pace =>
      new Pace({ ratePerSecond: ratePerSecond / Math.max(1, jobs), clock, signal });
    const pace = paceOf(settings.cloudCallsPerSecond);
    const parts = { ...options, ledger: this.#ledger, pace };
    this.#predecessors = new PredecessorStarts({
      ...parts,
      epochs: options.earlierFences.map((earlier) => epochOf(service, earlier)),
      maxMisses: settings.maxStarts,
      listLagMs: settings.listLagMs,
    });
    this.#boots = new BootWatch(settings.bootMs);
    this.#starts = new VmStarts(parts);
    this.#returns = new VmReturns(parts);
    this.#orders = new EngineOrders({
      ...parts,
      client: options.engines,
      pace: paceOf(settings.weightLoadsPerSecond),
      checkMs: settings.engineCheckMs,
    });
  }

  /** Compares what is held with what is needed, and acts on the difference. */
  async step(view: SupplyView): Promise<void> {
    const { lease, clock, settings } = this.#options;
    if (!lease.mayAct()) return;
    const until = clock.monotonic() + settings.periodMs;
    this.#view = view;
    this.#isRecovered ||= await this.#predecessors.settle(view.vms, until);
    if (!this.#isRecovered || !lease.mayAct()) return;
    this.#plan(view);
    await this.#starts.advance(until);
    await this.#returns.advance(view.vms, until);
    const kept = view.vms.filter(({ id }) => !this.#options.returning.has(id));
    await this.#orders.check(view, kept, until);
  }

  /** What an operator sees of this term. */
  get status(): SupplyStatus {
    const { service } = this.#options;
    const live = this.#current.filter(({ state }) => state === 'live');
    const capacity = this.#view?.service.capacity;
    const demands = this.#view ? supplyDemands(this.#view) : [];
    return {
      service,
      fence: this.fence,
      state: this.#isRecovered ? 'planning' : 'recovering',
      wantedRunners: capacity?.runners ?? 0,
      heldVms: live.length,
      pendingStarts: this.#current.filter(({ state }) => state === 'pending').length,
      returningVms: this.#view?.vms.filter(({ id }) => this.#options.returning.has(id)).length ?? 0,
      refusedKinds: this.#ledger.refusals.length,
      protectedRunners: protectedUnits(live, demands[0]?.unitsByClass ?? {}),
    };
  }

  #plan(view: SupplyView): void {
    const { clock, history, policy, settings, returning } = this.#options;
    const now = clock.monotonic();
    for (const vmId of this.#boots.observe(view.vms, now)) returning.drain(vmId);
    const listed = view.vms.map((vm) => this.#toListed(vm));
    this.#current = this.#ledger.current(listed, now).map((vm) => this.#withBoot(vm));
    const actions = policy.plan({
      demand: supplyDemands(view),
      prices: view.prices,
      reclaimRates: history.rates(),
      refusals: this.#ledger.refusals,
      current: this.#current,
      options: {
        now: clock.wall(),
        epoch: this.#epoch,
        nextSequence: this.#ledger.nextSequence,
        onDemandFloor: settings.onDemandFloor,
        maxStarts: settings.maxStarts,
        backoffMs: settings.backoffMs,
      },
    });
    this.#ledger.accept(actions, now);
  }

  /** A VM on which nothing serves yet counts as pending. */
  #withBoot(vm: SupplyVm): SupplyVm {
    return vm.state === 'live' && this.#boots.isBooting(vm.id) ? { ...vm, state: 'pending' } : vm;
  }

  /** A VM that an earlier holder drains counts as leaving. */
  #toListed({ id, failureDomain, machineClass, reclaimable, state, labels }: Vm): ListedVm {
    const known = Object.entries(labels).flatMap(([name, value]) =>
      value === undefined ? [] : [[name, value] as const],
    );
    return {
      id,
      failureDomain,
      machineClass,
      reclaimable,
      state: this.#options.returning.has(id) ? 'leaving' : state,
      labels: Object.fromEntries(known),
    };
  }
}

function epochOf(service: string, fence: number): string {
  return `${service}-${fence}`;
}
