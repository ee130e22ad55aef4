import type { RunnerDirectory, RunnerEntry, ScaleBounds, Service } from '@ragwortrudder/catalog';
import type { Clock } from '@ragwortrudder/core';
import { planRunners } from '@ragwortrudder/supply';
import type { DomainRunners, RunnerPlan } from '@ragwortrudder/supply';
import type { Cloud } from '../types/cloud.ts';
import type { Duty } from '../types/duty.ts';
import type { RunnerOrderCount } from '../types/runner-order-count.ts';
import { busyRunners } from '../utils/busy-runners.ts';
import type { DemandMeter } from '../utils/demand-meter.ts';
import type { DecisionLog } from './decision-log.ts';
import type { DutyBoard } from './duty-board.ts';

interface SupplyDutyOptions {
  readonly cloud: Cloud;
  readonly directory: RunnerDirectory;
  readonly demand: DemandMeter;
  readonly clock: Clock;
  readonly log: DecisionLog;
  /** Time that the engines of a service take to read a prompt token, in milliseconds. */
  readonly prefillMsPerToken: (service: string) => number;
  /** Services of the configuration in force. */
  readonly services: () => readonly Service[];
}

/** What an order was decided on, for the log. */
interface OrderInputs {
  /** Work of the service, in runners that are busy all the time. */
  readonly busyRunners: number;
  readonly isWave: boolean;
}

interface StandingOrder {
  readonly order: RunnerOrderCount;
  readonly at: number;
}

/** Time after a refusal or a reclaim during which a failure domain is taken to have no reclaimable runners, in milliseconds. */
const REFUSED_MS = 3_000;
/** Time for which a lower number must be enough before it is ordered, in milliseconds: a wave of demand. */
const LOWER_AFTER_MS = 8_000;
/** Time beyond a runner's start-up after which an order that was not met is given again, in milliseconds. */
const REPEAT_SLACK_MS = 2_000;
/** Time after a reclaim within which others are expected, in milliseconds: supply comes back after about a quarter of a minute. */
const WAVE_MS = 14_000;
/** What is left of a peak of demand after one look at it: half within four seconds; orders are held longer. */
const PEAK_DECAY = 0.92;
/** Part of the runners that are there which is taken to be busy before any demand was seen. */
const PRESUMED_UTILIZATION = 0.45;

function keyOf({ service, failureDomain, isSpot }: RunnerOrderCount): string {
  return `scale-${service}-${failureDomain}-${isSpot ? 'spot' : 'on-demand'}`;
}

function isOrder(value: unknown): value is RunnerOrderCount {
  const order = value as Partial<RunnerOrderCount> | undefined;
  return typeof order?.service === 'string' && typeof order.count === 'number';
}

/** Orders runners by the demand over all nodes and by what the failure domains have. */
export class SupplyDuty implements Duty {
  readonly #options: SupplyDutyOptions;
  readonly #standing = new Map<string, StandingOrder>();
  readonly #refusedUntil = new Map<string, number>();
  readonly #lowerSince = new Map<string, number>();
  readonly #mostSeen = new Map<string, number>();
  readonly #peakBusy = new Map<string, number>();
  readonly #draining = new Map<string, ReadonlySet<string>>();
  #waveUntil = 0;

  constructor(options: SupplyDutyOptions) {
    this.#options = options;
  }

  begin(board: DutyBoard): void {
    this.#standing.clear();
    const at = this.#options.clock.monotonic();
    for (const order of board.records.values()) {
      if (isOrder(order)) this.#standing.set(keyOf(order), { order, at });
    }
  }

  async perform(board: DutyBoard): Promise<void> {
    for (const service of this.#options.services()) {
      const { scaling } = service;
      if (!scaling || Object.keys(scaling.prices).length === 0) continue;
      const domains = Object.entries(scaling.prices).map(([failureDomain, price]) =>
        this.#domainOf(service, failureDomain, price),
      );
      const inputs: OrderInputs = {
        busyRunners: this.#busyFor(service.name),
        isWave: this.#options.clock.monotonic() < this.#waveUntil,
      };
      for (const plan of plansFor(scaling, domains, inputs)) {
        await this.#follow(board, service, plan, inputs);
      }
    }
  }

  /** Demand now, or that of a short while ago while it falls. */
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

  /** Work before any demand was seen: the runners that are there are there for a reason. */
  #presumedBusy(service: string): number {
    const serving = this.#options.directory.ofService(service).filter((entry) => !entry.isDraining);
    const most = Math.max(
      this.#mostSeen.get(service) ?? 0,
      serving.filter(({ isSpot }) => !isSpot).length,
    );
    this.#mostSeen.set(service, most);
    return most * PRESUMED_UTILIZATION;
  }

  #domainOf(service: Service, failureDomain: string, price: number): DomainRunners {
    const { directory, clock } = this.#options;
    const spot = directory
      .ofService(service.name)
      .filter((entry) => entry.failureDomain === failureDomain && entry.isSpot);
    const key = keyOf({ service: service.name, failureDomain, isSpot: true, count: 0 });
    const now = clock.monotonic();
    if (this.#isNewlyReclaimed(key, spot)) {
      this.#refusedUntil.set(key, now + REFUSED_MS);
      this.#waveUntil = now + WAVE_MS;
    }
    return {
      failureDomain,
      price,
      onDemand: this.#orderedCount({ service: service.name, failureDomain, isSpot: false }),
      spot: spot.filter(({ isDraining }) => !isDraining).length,
      isSpotRefused: now < (this.#refusedUntil.get(key) ?? 0),
    };
  }

  /** Runners that begin to drain though no fewer were ordered are being reclaimed. */
  #isNewlyReclaimed(key: string, spot: readonly RunnerEntry[]): boolean {
    const draining = spot.filter(({ isDraining }) => isDraining).map(({ id }) => id);
    const known = this.#draining.get(key);
    this.#draining.set(key, new Set(draining));
    const hasNew = draining.some((id) => !known?.has(id));
    const serving = spot.length - draining.length;
    const ordered = this.#standing.get(key)?.order.count;
    return hasNew && (ordered === undefined || serving < ordered);
  }

  async #follow(
    board: DutyBoard,
    service: Service,
    plan: RunnerPlan,
    inputs: OrderInputs,
  ): Promise<void> {
    const base = { service: service.name, failureDomain: plan.failureDomain };
    await this.#order(board, service, { ...base, count: plan.spot, isSpot: true }, inputs);
    await this.#order(board, service, { ...base, count: plan.onDemand, isSpot: false }, inputs);
  }

  async #order(
    board: DutyBoard,
    service: Service,
    order: RunnerOrderCount,
    { busyRunners, isWave }: OrderInputs,
  ): Promise<void> {
    const key = keyOf(order);
    if (!this.#isDue(key, service, order)) return;
    const { cloud, clock, log } = this.#options;
    const isHeld = await board.record(key, order);
    if (!isHeld || !board.term) return;
    this.#lowerSince.delete(key);
    const isGranted = await cloud.orderRunners(board.term, order);
    this.#standing.set(key, { order, at: clock.monotonic() });
    if (!isGranted) this.#refusedUntil.set(key, clock.monotonic() + REFUSED_MS);
    log.notable('runners-ordered', {
      ...order,
      busyRunners: Number(busyRunners.toFixed(2)),
      isWave,
      isGranted,
      token: board.term.fencingToken,
    });
  }

  #isDue(key: string, service: Service, order: RunnerOrderCount): boolean {
    const now = this.#options.clock.monotonic();
    const has = this.#countOf(order);
    const standing = this.#standing.get(key);
    const wanted = this.#orderedCount(order);
    if (now < (this.#refusedUntil.get(key) ?? 0)) return false;
    if (order.count > wanted) return true;
    if (order.count < wanted) {
      const since = this.#lowerSince.get(key) ?? now;
      this.#lowerSince.set(key, since);
      const isFirst = standing === undefined && this.#hasReplacements(service, order);
      return isFirst || now - since >= LOWER_AFTER_MS;
    }
    this.#lowerSince.delete(key);
    if (!standing) return false;
    const repeatMs = (service.scaling?.startupMs ?? 0) + REPEAT_SLACK_MS;
    return has < order.count && now - standing.at > repeatMs;
  }

  /** Runners that were ordered last, or those that are there when nothing was ordered. */
  #orderedCount(order: Omit<RunnerOrderCount, 'count'>): number {
    const key = keyOf({ ...order, count: 0 });
    return this.#standing.get(key)?.order.count ?? this.#countOf({ ...order, count: 0 });
  }

  /** The runners that an order takes away are replaced by ones of the other kind that serve already. */
  #hasReplacements(service: Service, order: RunnerOrderCount): boolean {
    const others = this.#countOf({ ...order, isSpot: !order.isSpot });
    return others > 0 && service.scaling !== undefined;
  }

  #countOf({ service, failureDomain, isSpot }: RunnerOrderCount): number {
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
