import type { Random } from '@ragwortrudder/core';
import type { Price } from '@ragwortrudder/standins';
import type { SupplyEvent } from '../types/supply-event.ts';
import { drawPrices } from './draw-prices.ts';

const DOMAINS: readonly string[] = ['a', 'b', 'c'];
const PRICE_PERIOD_MS = 10_000;
const CAPACITY_REFUSAL_MS = 10_000;
const OUTAGE_MS = 3000;
const LOST_REPLIES = 4;

/** Returns the failure domain with the cheapest reclaimable VMs. */
function cheapestDomain(prices: readonly Price[]): string {
  const reclaimable = prices.filter((price) => price.reclaimable);
  const [first] = [...reclaimable].sort((a, b) => a.pricePerHour - b.pricePerHour);
  return first?.failureDomain ?? '';
}

function reclaimWave(failureDomain: string, atMs: number): readonly SupplyEvent[] {
  return [
    { atMs, kind: 'wave', failureDomain },
    { atMs, kind: 'refuse', failureDomain, forMs: CAPACITY_REFUSAL_MS },
  ];
}

/**
 * Plans the platform events of a supply experiment, identical for every policy: price changes, lost
 * replies, a wave of reclaims in the cheapest failure domain and one in a random domain (each with
 * replacements refused), an outage of the cloud API, and a kill of the node that holds the supply
 * lease.
 */
export function planSupplyEvents(
  random: Random,
  durationMs: number,
  first: readonly Price[],
): readonly SupplyEvent[] {
  const jitterMs = (): number => Math.floor(random.next() * 2000);
  const events: SupplyEvent[] = [{ atMs: 0, kind: 'reply-lost', count: LOST_REPLIES }];
  const firstWaveAtMs = durationMs * 0.3 + jitterMs();
  let prices = first;
  let pricesAtFirstWave = first;
  for (let atMs = PRICE_PERIOD_MS; atMs < durationMs; atMs += PRICE_PERIOD_MS) {
    prices = drawPrices(random, prices);
    if (atMs <= firstWaveAtMs) pricesAtFirstWave = prices;
    events.push({ atMs, kind: 'prices', prices });
  }
  const secondWaveDomain = DOMAINS[Math.floor(random.next() * DOMAINS.length)] ?? '';
  events.push(...reclaimWave(cheapestDomain(pricesAtFirstWave), firstWaveAtMs));
  events.push({ atMs: firstWaveAtMs + 1000, kind: 'reply-lost', count: LOST_REPLIES });
  events.push({ atMs: durationMs * 0.5 + jitterMs(), kind: 'kill-holder' });
  events.push({ atMs: durationMs * 0.6 + jitterMs(), kind: 'outage', forMs: OUTAGE_MS });
  events.push(...reclaimWave(secondWaveDomain, durationMs * 0.7 + jitterMs()));
  return events.sort((a, b) => a.atMs - b.atMs);
}
