import { SeededRandom } from '@ragwortrudder/core';
import type { PlannedRequest } from '../types/planned-request.ts';

interface LongStreamOptions {
  readonly seed: number;
  /** Mean arrivals per second. */
  readonly rate: number;
  readonly durationMs: number;
  readonly tenant: string;
}

const MS_PER_S = 1000;
const MIN_WORDS = 200;
const MAX_WORDS = 900;
const MIN_TOKENS = 60;
const MAX_TOKENS = 240;
const DEADLINE_MS = 30_000;

/**
 * Plans Poisson arrivals of `quotes` requests with long answers and long prompts that share no
 * prefix.
 */
export function planLongStreams(options: LongStreamOptions): readonly PlannedRequest[] {
  const { seed, rate, durationMs, tenant } = options;
  const random = new SeededRandom(seed);
  const randomInteger = (min: number, max: number): number =>
    min + Math.floor(random.next() * (max - min));
  const planned: PlannedRequest[] = [];
  let atMs = 0;
  for (;;) {
    atMs -= (Math.log(1 - random.next()) * MS_PER_S) / rate;
    if (atMs >= durationMs) return planned;
    const serial = planned.length;
    const length = randomInteger(MIN_WORDS, MAX_WORDS);
    const prompt = Array.from({ length }, (_, index) => `${serial}-${index}`).join(' ');
    const maxTokens = randomInteger(MIN_TOKENS, MAX_TOKENS);
    const body = { class: 'interactive', deadlineMs: DEADLINE_MS, prompt, maxTokens };
    planned.push({ atMs, tenant, service: 'quotes', body });
  }
}
