import type { Random } from '@ragwortrudder/core';

interface ArrivalOptions {
  readonly random: Random;
  /** Mean arrivals per second. */
  readonly rate: number;
  readonly fromMs: number;
  readonly toMs: number;
}

const MS_PER_S = 1000;
const PERIOD_MS = 6000;
const BURST_MS = 1000;
const BURST_FACTOR = 2.5;
/** Rate factor between bursts, chosen so that the mean over a period equals the given rate. */
const QUIET_FACTOR = (PERIOD_MS - BURST_FACTOR * BURST_MS) / (PERIOD_MS - BURST_MS);

/** Returns Poisson arrival times in milliseconds, with a burst of one second in every six. */
export function burstArrivals({ random, rate, fromMs, toMs }: ArrivalOptions): readonly number[] {
  const arrivals: number[] = [];
  const peakRate = rate * BURST_FACTOR;
  if (peakRate <= 0) return arrivals;
  let atMs = fromMs;
  for (;;) {
    atMs -= (Math.log(1 - random.next()) * MS_PER_S) / peakRate;
    if (atMs >= toMs) return arrivals;
    const isBurst = (atMs - fromMs) % PERIOD_MS < BURST_MS;
    const factor = isBurst ? BURST_FACTOR : QUIET_FACTOR;
    if (random.next() < factor / BURST_FACTOR) arrivals.push(atMs);
  }
}
