import type { SupplyOffer } from '../types/supply-offer.ts';

/** Number of limits on a failure domain's reclaimable capacity that are tried. */
const LIMITS = 24;

interface Mix {
  readonly taken: ReadonlyMap<SupplyOffer, number>;
  readonly cost: number;
  /** Capacity left when the worst failure domain loses its reclaimable VMs. */
  readonly protectedUnits: number;
  readonly onDemandUnits: number;
}

interface Need {
  readonly units: number;
  readonly onDemandUnits: number;
}

/** Adds VMs one at a time and keeps the sums that the constraints need. */
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

  /** True when one more VM keeps its failure domain's reclaimable capacity within `limit`. */
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

/** The offer that covers `units` at the lowest cost when only whole VMs of it are taken. */
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

function fill(offers: readonly SupplyOffer[], need: Need, limit: number): Mix {
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

/** Capacity that a mix lacks, counting both constraints. */
function missing(mix: Mix, need: Need): number {
  const onDemand = Math.max(0, need.onDemandUnits - mix.onDemandUnits);
  return onDemand + Math.max(0, need.units - mix.protectedUnits);
}

function isBetter(a: Mix, b: Mix, need: Need): boolean {
  const difference = missing(a, need) - missing(b, need);
  return difference === 0 ? a.cost < b.cost : difference < 0;
}

/** Limits on a failure domain's reclaimable capacity that are worth a try. */
function limitsFor(offers: readonly SupplyOffer[], need: Need): readonly number[] {
  const steps = Array.from({ length: LIMITS }, (_, i) => (need.units * (i + 1)) / LIMITS);
  const sizes = new Set(offers.map(({ units }) => units));
  return [0, ...steps, ...sizes];
}

function bestOf(offers: readonly SupplyOffer[], need: Need): Mix {
  let best = fill(offers, { units: need.units, onDemandUnits: need.units }, 0);
  for (const limit of limitsFor(offers, need)) {
    const mix = fill(offers, need, limit);
    if (isBetter(mix, best, need)) best = mix;
  }
  return best;
}

/**
 * Returns the cheapest mix found that meets the need with any one failure domain's reclaimable VMs
 * gone, or the one that comes closest. For each of several limits on the reclaimable capacity of
 * a failure domain, the cheapest offers are taken in turn; the cheapest result wins. As long as
 * the VMs held meet the need, they are replaced only by a mix cheaper by `holdDiscount`.
 */
export function cheapestMix(
  offers: readonly SupplyOffer[],
  need: Need,
  holdDiscount: number,
): ReadonlyMap<SupplyOffer, number> {
  const best = bestOf(offers, need);
  const held = bestOf(
    offers.filter(({ isHeld }) => isHeld),
    need,
  );
  if (missing(held, need) > 0) return best.taken;
  return best.cost < held.cost * (1 - holdDiscount) ? best.taken : held.taken;
}
