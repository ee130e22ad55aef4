import type { SupplyOffer } from '../types/supply-offer.ts';

/** Number of evenly spaced limits on a failure domain's reclaimable capacity that are evaluated. */
const LIMIT_STEPS = 24;

interface Mix {
  readonly taken: ReadonlyMap<SupplyOffer, number>;
  readonly cost: number;
  /** Capacity that remains when the failure domain with the most reclaimable capacity loses it. */
  readonly protectedUnits: number;
  readonly onDemandUnits: number;
}

interface CapacityNeed {
  readonly units: number;
  readonly onDemandUnits: number;
}

/** Builds a mix one VM at a time and maintains the totals that the constraints require. */
class MixBuilder {
  readonly #taken = new Map<SupplyOffer, number>();
  readonly #reclaimable = new Map<string, number>();
  #units = 0;
  #onDemand = 0;
  #cost = 0;

  get protectedUnits(): number {
    return this.#units - Math.max(0, ...this.#reclaimable.values());
  }

  get onDemandUnits(): number {
    return this.#onDemand;
  }

  /** Returns whether one more VM is available and keeps its failure domain's reclaimable capacity within `limit`. */
  canTake(offer: SupplyOffer, limit: number): boolean {
    if ((this.#taken.get(offer) ?? 0) >= offer.count) return false;
    if (!offer.kind.reclaimable) return true;
    return (this.#reclaimable.get(offer.kind.failureDomain) ?? 0) + offer.units <= limit;
  }

  take(offer: SupplyOffer): void {
    this.#taken.set(offer, (this.#taken.get(offer) ?? 0) + 1);
    this.#units += offer.units;
    this.#cost += offer.cost;
    const { failureDomain, reclaimable } = offer.kind;
    if (!reclaimable) {
      this.#onDemand += offer.units;
      return;
    }
    const before = this.#reclaimable.get(failureDomain) ?? 0;
    this.#reclaimable.set(failureDomain, before + offer.units);
  }

  build(): Mix {
    const { protectedUnits, onDemandUnits } = this;
    return { taken: this.#taken, cost: this.#cost, protectedUnits, onDemandUnits };
  }
}

/** Returns the offer that covers `units` at the lowest cost with whole VMs of that offer alone. */
function cheapestCover(
  offers: readonly SupplyOffer[],
  units: number,
  canTake: (offer: SupplyOffer) => boolean,
): SupplyOffer | undefined {
  let best: SupplyOffer | undefined;
  let bestCost = Infinity;
  for (const offer of offers) {
    const cost = offer.cost * Math.ceil(units / offer.units);
    if (cost >= bestCost || !canTake(offer)) continue;
    best = offer;
    bestCost = cost;
  }
  return best;
}

function buildMix(offers: readonly SupplyOffer[], need: CapacityNeed, limit: number): Mix {
  const mix = new MixBuilder();
  const canTake = (offer: SupplyOffer): boolean => mix.canTake(offer, limit);
  const onDemand = offers.filter(({ kind }) => !kind.reclaimable);
  while (mix.onDemandUnits < need.onDemandUnits) {
    const offer = cheapestCover(onDemand, need.onDemandUnits - mix.onDemandUnits, canTake);
    if (!offer) break;
    mix.take(offer);
  }
  while (mix.protectedUnits < need.units) {
    const offer = cheapestCover(offers, need.units - mix.protectedUnits, canTake);
    if (!offer) break;
    mix.take(offer);
  }
  return mix.build();
}

/** Returns the missing capacity of a mix, summed over both constraints. */
function shortfall(mix: Mix, need: CapacityNeed): number {
  const onDemand = Math.max(0, need.onDemandUnits - mix.onDemandUnits);
  return onDemand + Math.max(0, need.units - mix.protectedUnits);
}

function isBetter(a: Mix, b: Mix, need: CapacityNeed): boolean {
  const difference = shortfall(a, need) - shortfall(b, need);
  return difference === 0 ? a.cost < b.cost : difference < 0;
}

/** Returns the candidate limits on a failure domain's reclaimable capacity. */
function limitsFor(offers: readonly SupplyOffer[], need: CapacityNeed): readonly number[] {
  const steps = Array.from({ length: LIMIT_STEPS }, (_, i) => (need.units * (i + 1)) / LIMIT_STEPS);
  const sizes = new Set(offers.map(({ units }) => units));
  return [0, ...steps, ...sizes];
}

function bestMix(offers: readonly SupplyOffer[], need: CapacityNeed): Mix {
  let best = buildMix(offers, { units: need.units, onDemandUnits: need.units }, 0);
  for (const limit of limitsFor(offers, need)) {
    const mix = buildMix(offers, need, limit);
    if (isBetter(mix, best, need)) best = mix;
  }
  return best;
}

/**
 * Returns the cheapest mix found that covers the need even if any one failure domain loses its
 * reclaimable VMs, or the mix that comes closest. The search is greedy: for each of several limits
 * on the reclaimable capacity of a failure domain, it takes the cheapest offers in turn, and the
 * cheapest result wins. While the held VMs cover the need, they are replaced only by a mix that is
 * cheaper by at least `holdDiscount`.
 */
export function cheapestMix(
  offers: readonly SupplyOffer[],
  need: CapacityNeed,
  holdDiscount: number,
): ReadonlyMap<SupplyOffer, number> {
  const best = bestMix(offers, need);
  const heldMix = bestMix(
    offers.filter(({ isHeld }) => isHeld),
    need,
  );
  if (shortfall(heldMix, need) > 0) return best.taken;
  return best.cost < heldMix.cost * (1 - holdDiscount) ? best.taken : heldMix.taken;
}
