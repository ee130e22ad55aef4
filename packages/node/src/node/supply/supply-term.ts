import type { Vm } from '@ragwortrudder/platform';
import { SupplyTracker, protectedUnits } from '@ragwortrudder/supply';
import type { ListedVm, SupplyVm } from '@ragwortrudder/supply';
import type { SupplyStatus } from '../../types/supply-status.ts';
import type { SupplyView } from '../../types/supply-view.ts';
import { RateLimiter } from '../../utils/rate-limiter.ts';
import { supplyDemands } from '../../utils/supply-demands.ts';
import type { SupplyTermOptions } from './supply-term-options.ts';
import { BootTracker } from './boot-tracker.ts';
import { EngineOrders } from './engine-orders.ts';
import { PredecessorStarts } from './predecessor-starts.ts';
import { VmReturns } from './vm-returns.ts';
import { VmStarts } from './vm-starts.ts';

/** One term of the supply job of a service: all actions under one fencing number. */
export class SupplyTerm {
  readonly fence: number;
  readonly #options: SupplyTermOptions;
  readonly #epoch: string;
  readonly #tracker: SupplyTracker;
  readonly #predecessorStarts: PredecessorStarts;
  readonly #starts: VmStarts;
  readonly #returns: VmReturns;
  readonly #engineOrders: EngineOrders;
  readonly #bootTracker: BootTracker;
  #hasRecovered = false;
  #currentVms: readonly SupplyVm[] = [];
  #view: SupplyView | undefined;

  constructor(options: SupplyTermOptions) {
    const { service, fence, settings, jobs, clock, signal } = options;
    this.fence = fence;
    this.#options = options;
    this.#epoch = epochOf(service, fence);
    this.#tracker = new SupplyTracker({ returnAfterMs: settings.returnAfterMs });
    const createPace = (ratePerSecond: number): RateLimiter =>
      new RateLimiter({ ratePerSecond: ratePerSecond / Math.max(1, jobs), clock, signal });
    const pace = createPace(settings.cloudCallsPerSecond);
    const shared = { ...options, tracker: this.#tracker, pace };
    this.#predecessorStarts = new PredecessorStarts({
      ...shared,
      epochs: options.earlierFences.map((earlier) => epochOf(service, earlier)),
      maxMisses: settings.maxStarts,
      listLagMs: settings.listLagMs,
    });
    this.#bootTracker = new BootTracker(settings.bootMs);
    this.#starts = new VmStarts(shared);
    this.#returns = new VmReturns(shared);
    this.#engineOrders = new EngineOrders({
      ...shared,
      client: options.engines,
      pace: createPace(settings.weightLoadsPerSecond),
      checkMs: settings.engineCheckMs,
    });
  }

  /** Compares the VMs held with the VMs needed, and starts, returns or orders accordingly. */
  async step(view: SupplyView): Promise<void> {
    const { lease, clock, settings } = this.#options;
    if (!lease.mayAct()) return;
    const until = clock.monotonic() + settings.periodMs;
    this.#view = view;
    this.#hasRecovered ||= await this.#predecessorStarts.recover(view.vms, until);
    if (!this.#hasRecovered || !lease.mayAct()) return;
    this.#plan(view);
    await this.#starts.advance(until);
    await this.#returns.advance(view.vms, until);
    const keptVms = view.vms.filter(({ id }) => !this.#options.returning.has(id));
    await this.#engineOrders.check(view, keptVms, until);
  }

  /** Status of this term for operators. */
  get status(): SupplyStatus {
    const { service } = this.#options;
    const live = this.#currentVms.filter(({ state }) => state === 'live');
    const capacity = this.#view?.service.capacity;
    const demands = this.#view ? supplyDemands(this.#view) : [];
    return {
      service,
      fence: this.fence,
      state: this.#hasRecovered ? 'planning' : 'recovering',
      wantedRunners: capacity?.runners ?? 0,
      heldVms: live.length,
      pendingStarts: this.#currentVms.filter(({ state }) => state === 'pending').length,
      returningVms: this.#view?.vms.filter(({ id }) => this.#options.returning.has(id)).length ?? 0,
      refusedKinds: this.#tracker.refusals.length,
      protectedRunners: protectedUnits(live, demands[0]?.unitsByClass ?? {}),
    };
  }

  #plan(view: SupplyView): void {
    const { clock, history, policy, settings, returning } = this.#options;
    const now = clock.monotonic();
    for (const vmId of this.#bootTracker.observe(view.vms, now)) returning.drain(vmId);
    const listed = view.vms.map((vm) => this.#toListed(vm));
    this.#currentVms = this.#tracker.current(listed, now).map((vm) => this.#withBootState(vm));
    const actions = policy.plan({
      demand: supplyDemands(view),
      prices: view.prices,
      reclaimRates: history.rates(),
      refusals: this.#tracker.refusals,
      current: this.#currentVms,
      options: {
        now: clock.wall(),
        epoch: this.#epoch,
        nextSequence: this.#tracker.nextSequence,
        onDemandFloor: settings.onDemandFloor,
        maxStarts: settings.maxStarts,
        backoffMs: settings.backoffMs,
      },
    });
    this.#tracker.applyPlan(actions, now);
  }

  /** Marks a live VM on which nothing serves yet as pending. */
  #withBootState(vm: SupplyVm): SupplyVm {
    return vm.state === 'live' && this.#bootTracker.isBooting(vm.id)
      ? { ...vm, state: 'pending' }
      : vm;
  }

  /** Converts a VM to the planner's form; a VM that this or an earlier holder drains is leaving. */
  #toListed({ id, failureDomain, machineClass, reclaimable, state, labels }: Vm): ListedVm {
    const definedLabels = Object.entries(labels).flatMap(([name, value]) =>
      value === undefined ? [] : [[name, value] as const],
    );
    return {
      id,
      failureDomain,
      machineClass,
      reclaimable,
      state: this.#options.returning.has(id) ? 'leaving' : state,
      labels: Object.fromEntries(definedLabels),
    };
  }
}

function epochOf(service: string, fence: number): string {
  return `${service}-${fence}`;
}
