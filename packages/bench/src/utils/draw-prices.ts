import type { Random } from '@ragwortrudder/core';
import type { Price } from '@ragwortrudder/standins';

const DOMAINS: readonly string[] = ['a', 'b', 'c'];
const MACHINE_CLASS = 'standard';
const ON_DEMAND_PRICE = 1;
/** Range of the first prices of reclaimable VMs. */
const LEAST_PRICE = 0.25;
const PRICE_RANGE = 0.15;
/** Greatest part by which such a price changes at a time. */
const STEP = 0.2;

function nextPrice(random: Random, before: number | undefined): number {
  if (before === undefined) return LEAST_PRICE + PRICE_RANGE * random.next();
  return before * (1 + STEP * (2 * random.next() - 1));
}

/** Prices in every failure domain: the first ones, or those that follow `before`. */
export function drawPrices(random: Random, before: readonly Price[] = []): readonly Price[] {
  return DOMAINS.flatMap((failureDomain, index) => {
    const kind = { failureDomain, machineClass: MACHINE_CLASS };
    const last = before.find((price) => price.reclaimable && price.failureDomain === failureDomain);
    const pricePerHour = nextPrice(random, last?.pricePerHour);
    return [
      { ...kind, reclaimable: true, pricePerHour },
      { ...kind, reclaimable: false, pricePerHour: ON_DEMAND_PRICE + index / 100 },
    ];
  });
}
