import type { DomainRunners } from '../types/domain-runners.ts';
import type { RunnerPlan } from '../types/runner-plan.ts';

interface PlanRunnersOptions {
  /** Work of the service, in runners that are busy all the time. */
  readonly busyRunners: number;
  /** Fewest and most runners per failure domain, of both kinds together. */
  readonly min: number;
  readonly max: number;
  /** Price of a reclaimable runner as a share of the on-demand price; absent when none can be ordered. */
  readonly spotPrice?: number;
  /** Reclaimable runners were reclaimed a short time ago; further failure domains may follow. */
  readonly isWave: boolean;
  readonly domains: readonly DomainRunners[];
}

/** Utilization up to which waits stay short, from the queueing of prompts of very unequal size. */
const TARGET_UTILIZATION = 0.75;
/** Utilization of reclaimable runners: one of three failure domains may be reclaimed at once, and prompts wait where nodes choose without news of one another. */
const SPOT_UTILIZATION = 0.4;
/** Price share from which reclaimable runners no longer pay for the spare ones. */
const MAX_SPOT_PRICE = 0.6;
/** On-demand runners that are kept whatever the supply of reclaimable ones. */
const ON_DEMAND_FLOOR = 1;

/** Places on-demand runners: where they are already, then one by one in the cheapest domain with room. */
function placeOnDemand(
  count: number,
  domains: readonly DomainRunners[],
  roomOf: (domain: DomainRunners) => number,
): ReadonlyMap<string, number> {
  const byPrice = domains.toSorted((a, b) => a.price - b.price);
  const placed = new Map<string, number>();
  let rest = count;
  for (const domain of byPrice) {
    const kept = Math.min(rest, domain.onDemand, roomOf(domain));
    placed.set(domain.failureDomain, kept);
    rest -= kept;
  }
  while (rest > 0) {
    const open = byPrice.filter(
      (domain) => (placed.get(domain.failureDomain) ?? 0) < roomOf(domain),
    );
    if (open.length === 0) break;
    for (const { failureDomain } of open.slice(0, rest)) {
      placed.set(failureDomain, (placed.get(failureDomain) ?? 0) + 1);
      rest -= 1;
    }
  }
  return placed;
}

/**
 * Plans the runners of a service: reclaimable ones spread over all failure domains with one
 * domain's worth to spare, and on-demand ones for what they cannot cover now. Reclaims come in waves:
 * during one, on-demand runners cover all of the work.
 */
export function planRunners(options: PlanRunnersOptions): readonly RunnerPlan[] {
  const { busyRunners, min, max, spotPrice, isWave, domains } = options;
  const needed = Math.max(1, Math.ceil(busyRunners / TARGET_UTILIZATION));
  const usesSpot = spotPrice !== undefined && spotPrice <= MAX_SPOT_PRICE;
  const spotWanted = usesSpot ? Math.ceil(busyRunners / SPOT_UTILIZATION) : 0;
  const spotEach = usesSpot
    ? Math.min(max, Math.max(1, min, Math.ceil(spotWanted / domains.length)))
    : 0;
  const spotNow = domains.reduce((sum, { spot }) => sum + Math.min(spot, spotEach), 0);
  const spared = isWave ? 0 : spotNow;
  const onDemand = Math.max(ON_DEMAND_FLOOR, needed - spared);
  const roomOf = ({ spot, isSpotRefused }: DomainRunners): number =>
    max - (isWave || isSpotRefused ? Math.min(spot, spotEach) : Math.min(spotEach, max - 1));
  const placed = placeOnDemand(onDemand, domains, roomOf);
  return domains.map(({ failureDomain }) => {
    const ordered = placed.get(failureDomain) ?? 0;
    const spot = Math.min(spotEach, max - ordered);
    const missing = Math.max(0, min - spot - ordered);
    return { failureDomain, spot, onDemand: ordered + missing };
  });
}
