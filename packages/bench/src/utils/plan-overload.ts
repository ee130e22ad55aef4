import { SeededRandom } from '@ragwortrudder/core';
import type { PlannedRequest } from '../types/planned-request.ts';
import { burstArrivals } from './burst-arrivals.ts';

interface OverloadOptions {
  readonly seed: number;
  readonly durationMs: number;
  /**
   * Mean arrivals per second by tenant; the tenant `batch` sends delay-tolerant requests of the
   * class `batch`.
   */
  readonly rates: Readonly<Record<string, number>>;
  readonly promptTokens: number;
  readonly maxTokens: number;
  readonly deadlineMs: number;
  readonly batchDeadlineMs: number;
}

/** Plans requests of equal size without shared prefixes, ordered by arrival time. */
export function planOverload(options: OverloadOptions): readonly PlannedRequest[] {
  const { seed, durationMs, rates, promptTokens, maxTokens } = options;
  const random = new SeededRandom(seed);
  const planned = Object.entries(rates).flatMap(([tenant, rate]) =>
    burstArrivals({ random, rate, fromMs: 0, toMs: durationMs }).map((atMs): PlannedRequest => {
      const isBatch = tenant === 'batch';
      const serial = Math.floor(random.next() * 1e9);
      const words = Array.from({ length: promptTokens }, (_, index) => `${serial}-${index}`);
      return {
        atMs,
        tenant,
        service: 'quotes',
        body: {
          class: isBatch ? 'batch' : 'interactive',
          deadlineMs: isBatch ? options.batchDeadlineMs : options.deadlineMs,
          prompt: words.join(' '),
          maxTokens,
        },
      };
    }),
  );
  return planned.sort((a, b) => a.atMs - b.atMs);
}
