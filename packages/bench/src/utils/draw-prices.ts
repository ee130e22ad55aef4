import type { Random } from '@ragwortrudder/core';
import type { Price } from '@ragwortrudder/standins';

const DOMAINS: readonly string[] = ['a', 'b', 'c'];
const MACHINE_CLASS = 'standard';
const ON_DEMAND_PRICE = 1;
/** Reclaimable VMs start with a price between 0.25 and 0.4 of the on-demand base price. */
const MIN_FIRST_PRICE = 0.25;
const FIRST_PRICE_RANGE = 0.15;
/** Largest relative change of a reclaimable price in one step. */
const MAX_PRICE_CHANGE = 0.2;

function nextPrice(random: Random, previous: number | undefined): number {
  if (previous === undefined) return MIN_FIRST_PRICE + FIRST_PRICE_RANGE * random.next();
  return previous * (1 + MAX_PRICE_CHANGE * (2 * random.next() - 1));
}

/** Draws prices for every failure domain: initial ones, or a random step from `previous`. */
export function drawPrices(random: Random, previous: readonly Price[] = []): readonly Price[] {
  return DOMAINS.flatMap((failureDomain, index) => {
    const kind = { failureDomain, machineClass: MACHINE_CLASS };
    const previousPrice = previous.find(
      (price) => price.reclaimable && price.failureDomain === failureDomain,
    );
    const pricePerHour = nextPrice(random, previousPrice?.pricePerHour);
    return [
      { ...kind, reclaimable: true, pricePerHour },
      { ...kind, reclaimable: false, pricePerHour: ON_DEMAND_PRICE + index / 100 },
    ];
  });
}
