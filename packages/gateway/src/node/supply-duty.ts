import type { RunnerDirectory, RunnerEntry, ScaleBounds, Service } from '@ragwortrudder/catalog';
import type { Clock } from '@ragwortrudder/core';
import type { EvacuatedDomains } from '@ragwortrudder/routing';
import { planRunners } from '@ragwortrudder/supply';
import type { DomainRunners, RunnerPlan } from '@ragwortrudder/supply';
import type { CloudApi } from '../types/cloud-api.ts';
import type { Duty } from '../types/duty.ts';
import type { ScaleOrder } from '../types/scale-order.ts';
import { Arrivals } from '../utils/arrivals.ts';
import { busyRunners } from '../utils/busy-runners.ts';
import type { DemandMeter } from '../utils/demand-meter.ts';
import type { DecisionLog } from './decision-log.ts';
import type { DutyTermStore } from './duty-term-store.ts';

interface SupplyDutyOptions {
  readonly cloud: CloudApi;
  readonly directory: RunnerDirectory;
  /** Failure domains for which nothing is ordered; their runners are not counted on. */
  readonly evacuated: Pick<EvacuatedDomains, 'has'>;
  readonly demand: DemandMeter;
  /** The demand of all known nodes is heard. */
  readonly hearsAllNodes: () => boolean;
  readonly clock: Clock;
  readonly log: DecisionLog;
  /** Prefill time per prompt token at the engines of a service, in milliseconds. */
  readonly prefillMsPerToken: (service: string) => number;
  /** Services of the active configuration. */
  readonly services: () => readonly Service[];
}

/** Values that an order is based on; they are also logged. */
interface OrderInputs {
  /** Work of the service, as a number of fully utilized runners. */
  readonly busyRunners: number;
  readonly isWave: boolean;
  /** Nodes whose demand for the service is part of it; 0 where it is presumed. */
  readonly demandNodes: number;
  /** No further runners are expected to register of which nothing is recorded. */
  readonly isListComplete: boolean;
}

interface PlacedOrder {
  readonly order: ScaleOrder;
  readonly at: number;
}

/**
 * Time after a refusal or a spot reclaim during which a failure domain is assumed to have no
 * capacity of that kind, in milliseconds.
 */
const REFUSAL_BACKOFF_MS = 3_000;
/**
 * Time for which a lower count must be sufficient before it is ordered, in milliseconds: longer
 * than a wave of demand.
 */
const SCALE_DOWN_DELAY_MS = 8_000;
/** Time beyond a runner's start-up time after which an unfulfilled order is repeated, in milliseconds. */
const REPEAT_SLACK_MS = 2_000;
/**
 * Time after a reclaim within which further ones are expected, in milliseconds: spot capacity
 * returns after about 15 seconds.
 */
const RECLAIM_WAVE_MS = 14_000;
/**
 * Factor by which the demand peak decays on each evaluation: it halves within four seconds, and
 * orders are kept longer than that.
 */
const PEAK_DECAY = 0.92;
/**
 * Time without a new runner in the list after which it is taken for complete, in milliseconds: live runners
 * renew their entries as often.
 */
const COMPLETE_LIST_MS = 1_200;
/** Longest time for which a list that goes on to grow is awaited, in milliseconds. */
const MAX_LIST_WAIT_MS = 10_000;
/** Assumed utilization of the existing runners before any demand has been measured. */
const PRESUMED_UTILIZATION = 0.45;

function orderKey({ service, failureDomain, isSpot }: ScaleOrder): string {
  return `scale-${service}-${failureDomain}-${isSpot ? 'spot' : 'on-demand'}`;
}

function isOrder(value: unknown): value is ScaleOrder {
  const order = value as Partial<ScaleOrder> | undefined;
  return typeof order?.service === 'string' && typeof order.count === 'number';
}

/**
 * Scales the runners of all services to the demand over all nodes and the capacity of the failure
 * domains.
 */
export class SupplyDuty implements Duty {
  readonly #options: SupplyDutyOptions;
  readonly #placedOrders = new Map<string, PlacedOrder>();
  readonly #refusedUntil = new Map<string, number>();
  readonly #scaleDownSince = new Map<string, number>();
  readonly #maxServing = new Map<string, number>();
  readonly #peakBusy = new Map<string, number>();
  readonly #draining = new Map<string, ReadonlySet<string>>();
  readonly #arrivals: Arrivals;
  #waveUntil = 0;

  constructor(options: SupplyDutyOptions) {
    this.#options = options;
    this.#arrivals = new Arrivals(options.clock);
  }

  begin(termStore: DutyTermStore): void {
    this.#placedOrders.clear();
    this.#scaleDownSince.clear();
    this.#arrivals.clear();
    const at = this.#options.clock.monotonic();
    for (const order of termStore.records.values()) {
      if (isOrder(order)) this.#placedOrders.set(orderKey(order), { order, at });
    }
  }

  async perform(termStore: DutyTermStore): Promise<void> {
    // What the others need is not known, so that a lower count has to be sufficient anew.
    if (!this.#options.hearsAllNodes()) this.#scaleDownSince.clear();
    for (const service of this.#options.services()) {
      const { scaling } = service;
      if (!scaling || Object.keys(scaling.prices).length === 0) continue;
      const isListComplete = this.#isListComplete(service.name, scaling);
      const domains = this.#usedDomainsOf(service, scaling);
      if (domains.length === 0) continue;
      const inputs: OrderInputs = {
        busyRunners: this.#busyFor(service.name),
        isWave: this.#options.clock.monotonic() < this.#waveUntil,
        demandNodes: this.#options.demand.nodeCount(service.name),
        isListComplete,
      };
      for (const plan of plansFor(scaling, domains, inputs)) {
        await this.#applyPlan(termStore, service, plan, inputs);
      }
    }
  }

  /** Failure domains that are planned; the numbers of runners in evacuated ones stay as they are. */
  #usedDomainsOf(service: Service, { prices }: ScaleBounds): readonly DomainRunners[] {
    const { evacuated } = this.#options;
    const domains: DomainRunners[] = [];
    for (const [failureDomain, price] of Object.entries(prices)) {
      if (evacuated.has(failureDomain)) this.#resetScaleDown(service.name, failureDomain);
      else domains.push(this.#domainOf(service, failureDomain, price));
    }
    return domains;
  }

  /** A lower count has to be sufficient anew after the evacuation of a domain. */
  #resetScaleDown(service: string, failureDomain: string): void {
    for (const isSpot of [true, false]) {
      this.#scaleDownSince.delete(orderKey({ service, failureDomain, isSpot, count: 0 }));
    }
  }

  /** Work that the current demand causes; while demand falls, the result follows with a delay. */
  #busyFor(service: string): number {
    const demand = this.#options.demand.perSecond(service);
    const now =
      demand.requests === 0
        ? this.#presumedBusy(service)
        : busyRunners(demand, this.#options.prefillMsPerToken(service));
    const peak = Math.max(now, (this.#peakBusy.get(service) ?? 0) * PEAK_DECAY);
    this.#peakBusy.set(service, peak);
    return peak;
  }

  /** Work assumed before any demand has been measured: existing runners are presumed to be needed. */
  #presumedBusy(service: string): number {
    const serving = this.#options.directory.ofService(service).filter((entry) => !entry.isDraining);
    const maxServing = Math.max(
      this.#maxServing.get(service) ?? 0,
      serving.filter(({ isSpot }) => !isSpot).length,
    );
    this.#maxServing.set(service, maxServing);
    return maxServing * PRESUMED_UTILIZATION;
  }

  #domainOf(service: Service, failureDomain: string, price: number): DomainRunners {
    const { directory, clock } = this.#options;
    const spot = directory
      .ofService(service.name)
      .filter((entry) => entry.failureDomain === failureDomain && entry.isSpot);
    const key = orderKey({ service: service.name, failureDomain, isSpot: true, count: 0 });
    const now = clock.monotonic();
    if (this.#isNewlyReclaimed(key, spot)) {
      this.#refusedUntil.set(key, now + REFUSAL_BACKOFF_MS);
      this.#waveUntil = now + RECLAIM_WAVE_MS;
    }
    return {
      failureDomain,
      price,
      onDemand: this.#orderedCount({ service: service.name, failureDomain, isSpot: false }),
      spot: spot.filter(({ isDraining }) => !isDraining).length,
      isSpotRefused: now < (this.#refusedUntil.get(key) ?? 0),
    };
  }

  /** Spot runners that start draining without a lower order are being reclaimed. */
  #isNewlyReclaimed(key: string, spot: readonly RunnerEntry[]): boolean {
    const draining = spot.filter(({ isDraining }) => isDraining).map(({ id }) => id);
    const known = this.#draining.get(key);
    this.#draining.set(key, new Set(draining));
    const hasNew = draining.some((id) => !known?.has(id));
    const serving = spot.length - draining.length;
    const ordered = this.#placedOrders.get(key)?.order.count;
    return hasNew && (ordered === undefined || serving < ordered);
  }

  async #applyPlan(
    termStore: DutyTermStore,
    service: Service,
    plan: RunnerPlan,
    inputs: OrderInputs,
  ): Promise<void> {
    const base = { service: service.name, failureDomain: plan.failureDomain };
    await this.#placeOrder(termStore, service, { ...base, count: plan.spot, isSpot: true }, inputs);
    await this.#placeOrder(
      termStore,
      service,
      { ...base, count: plan.onDemand, isSpot: false },
      inputs,
    );
  }

  async #placeOrder(
    termStore: DutyTermStore,
    service: Service,
    order: ScaleOrder,
    { busyRunners, isWave, demandNodes, isListComplete }: OrderInputs,
  ): Promise<void> {
    const key = orderKey(order);
    if (!isListComplete && !this.#isKnownToAdd(key, order)) return;
    if (!this.#isDue(key, service, order)) return;
    const { cloud, clock, directory, log } = this.#options;
    const before = this.#placedOrders.get(key)?.order.count;
    const listed = this.#countOf(order);
    const isRecorded = await termStore.record(key, order);
    if (!isRecorded || !termStore.term) return;
    this.#scaleDownSince.delete(key);
    const isGranted = await cloud.orderRunners(termStore.term, order);
    this.#placedOrders.set(key, { order, at: clock.monotonic() });
    if (!isGranted) this.#refusedUntil.set(key, clock.monotonic() + REFUSAL_BACKOFF_MS);
    log.notable('runners-ordered', {
      ...order,
      busyRunners: Number(busyRunners.toFixed(2)),
      isWave,
      isGranted,
      ...(before === undefined ? {} : { before }),
      listed,
      listReadMs: Math.round(directory.readableMs),
      demandNodes,
      token: termStore.term.fencingToken,
    });
  }

  #isDue(key: string, service: Service, order: ScaleOrder): boolean {
    const now = this.#options.clock.monotonic();
    const serving = this.#countOf(order);
    const placedOrder = this.#placedOrders.get(key);
    const orderedCount = this.#orderedCount(order);
    if (now < (this.#refusedUntil.get(key) ?? 0)) return false;
    if (order.count > orderedCount) return true;
    if (order.count < orderedCount) {
      const since = this.#scaleDownSince.get(key) ?? now;
      this.#scaleDownSince.set(key, since);
      const isFirst = placedOrder === undefined && this.#hasReplacements(service, order);
      return isFirst || now - since >= SCALE_DOWN_DELAY_MS;
    }
    this.#scaleDownSince.delete(key);
    if (!placedOrder) return false;
    const repeatMs = (service.scaling?.startupMs ?? 0) + REPEAT_SLACK_MS;
    return serving < order.count && now - placedOrder.at > repeatMs;
  }

  /**
   * The list shows the runners of which no order is recorded. An order states how many there shall be:
   * given earlier, it would take away those that have not registered yet.
   */
  #isListComplete(service: string, { startupMs }: ScaleBounds): boolean {
    const unrecorded = this.#options.directory
      .ofService(service)
      .filter((entry) => !this.#placedOrders.has(orderKey({ ...entry, count: 0 })));
    const { watchedMs, steadyMs } = this.#arrivals.observe(
      service,
      unrecorded.map(({ id }) => id),
    );
    const waitMs = this.#isUnlisted(service) ? startupMs : COMPLETE_LIST_MS;
    return steadyMs >= waitMs || watchedMs >= MAX_LIST_WAIT_MS;
  }

  #isUnlisted(service: string): boolean {
    return this.#options.directory.ofService(service).length === 0;
  }

  /**
   * Whether an order takes no runners away that are not listed yet: it replaces a recorded one, or all
   * runners that stand are of the other kind.
   */
  #isKnownToAdd(key: string, { service, isSpot }: ScaleOrder): boolean {
    if (this.#placedOrders.has(key)) return true;
    const listed = this.#options.directory.ofService(service);
    return listed.length > 0 && listed.every((entry) => entry.isSpot !== isSpot);
  }

  /** Count of the last order, or the number of serving runners when nothing was ordered. */
  #orderedCount(order: Omit<ScaleOrder, 'count'>): number {
    const key = orderKey({ ...order, count: 0 });
    return this.#placedOrders.get(key)?.order.count ?? this.#countOf({ ...order, count: 0 });
  }

  /** Whether runners of the other kind already serve in place of those that an order removes. */
  #hasReplacements(service: Service, order: ScaleOrder): boolean {
    const others = this.#countOf({ ...order, isSpot: !order.isSpot });
    return others > 0 && service.scaling !== undefined;
  }

  #countOf({ service, failureDomain, isSpot }: ScaleOrder): number {
    return this.#options.directory
      .ofService(service)
      .filter(
        (entry) =>
          entry.failureDomain === failureDomain && entry.isSpot === isSpot && !entry.isDraining,
      ).length;
  }
}

function plansFor(
  { min, max, spotPrice }: ScaleBounds,
  domains: readonly DomainRunners[],
  inputs: OrderInputs,
): readonly RunnerPlan[] {
  return planRunners({
    ...inputs,
    min,
    max,
    ...(spotPrice === undefined ? {} : { spotPrice }),
    domains,
  });
}
