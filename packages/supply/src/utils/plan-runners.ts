import type { DomainRunners } from '../types/domain-runners.ts';
import type { RunnerPlan } from '../types/runner-plan.ts';

interface PlanRunnersOptions {
  /** Load of the service, in the number of fully utilized runners. */
  readonly busyRunners: number;
  /** Minimum and maximum number of runners per failure domain, both kinds together. */
  readonly min: number;
  readonly max: number;
  /** Price of a reclaimable runner as a fraction of the on-demand price; absent if none can be ordered. */
  readonly spotPrice?: number;
  /** True when runners were recently reclaimed; reclaims in further failure domains may follow. */
  readonly isWave: boolean;
  readonly domains: readonly DomainRunners[];
}

/** Utilization up to which queueing delays stay short, given prompts of widely varying size. */
const TARGET_UTILIZATION = 0.75;
/**
 * Target utilization of reclaimable runners. It leaves room for the reclaim of one of three failure domains, and
 * for queueing when nodes choose runners without current information about each other's requests.
 */
const SPOT_UTILIZATION = 0.4;
/** Price fraction above which reclaimable runners no longer save enough to pay for the spare capacity. */
const MAX_SPOT_PRICE = 0.6;
/** Minimum number of on-demand runners, regardless of the supply of reclaimable ones. */
const ON_DEMAND_FLOOR = 1;

type Placements = ReadonlyMap<string, number>;
type Room = (domain: DomainRunners) => number;

/** Places on-demand runners: first where they already run, then one per domain with room, cheapest first. */
function placeOnDemand(
  count: number,
  domains: readonly DomainRunners[],
  { placed, roomOf }: { readonly placed: Placements; readonly roomOf: Room },
): Placements {
  const byPrice = domains.toSorted((a, b) => a.price - b.price);
  const placements = new Map(placed);
  let remaining = count - sumOf(placed);
  for (const domain of byPrice) {
    const before = placements.get(domain.failureDomain) ?? 0;
    const kept = Math.min(remaining, domain.onDemand - before, roomOf(domain) - before);
    if (kept <= 0) continue;
    placements.set(domain.failureDomain, before + kept);
    remaining -= kept;
  }
  while (remaining > 0) {
    const withRoom = byPrice.filter(
      (domain) => (placements.get(domain.failureDomain) ?? 0) < roomOf(domain),
    );
    if (withRoom.length === 0) break;
    for (const { failureDomain } of withRoom.slice(0, remaining)) {
      placements.set(failureDomain, (placements.get(failureDomain) ?? 0) + 1);
      remaining -= 1;
    }
  }
  return placements;
}

function sumOf(placements: Placements): number {
  return [...placements.values()].reduce((sum, count) => sum + count, 0);
}

/**
 * Plans the runners of a service: reclaimable ones spread over all failure domains, with enough spare capacity to
 * lose one domain, and on-demand ones for the load that they cannot currently cover. Reclaims come in waves: during
 * a wave, on-demand runners cover the entire load. Within the maximum, on-demand runners give way as far as
 * reclaimable ones serve in their place.
 */
export function planRunners(options: PlanRunnersOptions): readonly RunnerPlan[] {
  const { busyRunners, min, max, spotPrice, isWave, domains } = options;
  const needed = Math.max(1, Math.ceil(busyRunners / TARGET_UTILIZATION));
  const usesSpot = spotPrice !== undefined && spotPrice <= MAX_SPOT_PRICE;
  const desiredSpot = usesSpot ? Math.ceil(busyRunners / SPOT_UTILIZATION) : 0;
  const spotPerDomain = usesSpot
    ? Math.min(max, Math.max(1, min, Math.ceil(desiredSpot / domains.length)))
    : 0;
  const currentSpot = domains.reduce((sum, { spot }) => sum + Math.min(spot, spotPerDomain), 0);
  const coveredBySpot = isWave ? 0 : currentSpot;
  const onDemand = Math.max(ON_DEMAND_FLOOR, needed - coveredBySpot);
  const keptSpot = ({ spot }: DomainRunners): number => Math.min(spot, spotPerDomain);
  const roomBesideKept: Room = (domain) => max - keptSpot(domain);
  const roomBesidePlanned: Room = (domain) =>
    isWave || domain.isSpotRefused
      ? roomBesideKept(domain)
      : max - Math.min(spotPerDomain, max - 1);
  const besidePlanned = placeOnDemand(onDemand, domains, {
    placed: new Map(),
    roomOf: roomBesidePlanned,
  });
  // Reclaimable runners that are not there yet replace none: they may not come, and take time to start.
  const placements = placeOnDemand(onDemand, domains, {
    placed: besidePlanned,
    roomOf: roomBesideKept,
  });
  return domains.map((domain) => {
    const { failureDomain } = domain;
    const onDemandHere = placements.get(failureDomain) ?? 0;
    // Those that are ordered take up room until a lower order is in force.
    const roomLeft = max - Math.max(onDemandHere, domain.onDemand);
    const desired = Math.max(keptSpot(domain), Math.min(spotPerDomain, roomLeft));
    const spot = Math.min(desired, max - onDemandHere);
    const shortfall = Math.max(0, min - spot - onDemandHere);
    return { failureDomain, spot, onDemand: onDemandHere + shortfall };
  });
}
