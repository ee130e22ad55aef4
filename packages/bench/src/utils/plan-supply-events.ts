import type { Random } from '@ragwortrudder/core';
import type { Price } from '@ragwortrudder/standins';
import type { SupplyEvent } from '../types/supply-event.ts';
import { drawPrices } from './draw-prices.ts';

const DOMAINS: readonly string[] = ['a', 'b', 'c'];
const PRICE_PERIOD_MS = 10_000;
const REFUSAL_MS = 10_000;
const OUTAGE_MS = 3000;
const LOST_REPLIES = 4;

/** The failure domain whose reclaimable VMs are cheapest. */
function cheapestDomain(prices: readonly Price[]): string {
  const reclaimable = prices.filter((price) => price.reclaimable);
  const [first] = [...reclaimable].sort((a, b) => a.pricePerHour - b.pricePerHour);
  return first?.failureDomain ?? '';
}

function waveIn(failureDomain: string, atMs: number): readonly SupplyEvent[] {
  return [
    { atMs, kind: 'wave', failureDomain },
    { atMs, kind: 'refuse', failureDomain, forMs: REFUSAL_MS },
  ];
}

/**
 * A history of the platform, the same for every policy: prices that change, a wave of reclaims in
 * the cheapest failure domain and one in any, each with refused replacements, lost replies, an
 * outage of the cloud API, and the end of the process that holds the job.
 */
export function planSupplyEvents(
  random: Random,
  durationMs: number,
  first: readonly Price[],
): readonly SupplyEvent[] {
  const jitterMs = (): number => Math.floor(random.next() * 2000);
  const events: SupplyEvent[] = [{ atMs: 0, kind: 'reply-lost', count: LOST_REPLIES }];
  const waveAt = durationMs * 0.3 + jitterMs();
  let prices = first;
  let pricesAtWave = first;
  for (let atMs = PRICE_PERIOD_MS; atMs < durationMs; atMs += PRICE_PERIOD_MS) {
    prices = drawPrices(random, prices);
    if (atMs <= waveAt) pricesAtWave = prices;
    events.push({ atMs, kind: 'prices', prices });
  }
  const other = DOMAINS[Math.floor(random.next() * DOMAINS.length)] ?? '';
  events.push(...waveIn(cheapestDomain(pricesAtWave), waveAt));
  events.push({ atMs: waveAt + 1000, kind: 'reply-lost', count: LOST_REPLIES });
  events.push({ atMs: durationMs * 0.5 + jitterMs(), kind: 'kill-holder' });
  events.push({ atMs: durationMs * 0.6 + jitterMs(), kind: 'outage', forMs: OUTAGE_MS });
  events.push(...waveIn(other, durationMs * 0.7 + jitterMs()));
  return events.sort((a, b) => a.atMs - b.atMs);
}
