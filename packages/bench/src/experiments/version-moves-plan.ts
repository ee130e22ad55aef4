import { SeededRandom } from '@ragwortrudder/core';
import type { Random } from '@ragwortrudder/core';
import type { PlannedRequest } from '../types/planned-request.ts';
import type { VersionCase } from '../types/version-case.ts';

const MS_PER_S = 1000;
const BATCH_SHARE = 0.15;
const MIN_WORDS = 70;
const MAX_WORDS = 130;
const MAX_TOKENS = 8;
const REQUEST_DEADLINE_MS = 15_000;
const WORDS: readonly string[] =
  'quote mops detergent paper hospital school depot delivery price carton terms month index'.split(
    ' ',
  );

interface VersionCasePlanOptions {
  readonly versionCase: VersionCase;
  readonly seed: number;
  readonly durationMs: number;
  readonly tenant: string;
}

function requestBody(
  { kind }: VersionCase,
  random: Random,
  serial: number,
): Readonly<Record<string, unknown>> {
  const isBatch = random.next() < BATCH_SHARE;
  const common = { class: isBatch ? 'batch' : 'interactive', deadlineMs: REQUEST_DEADLINE_MS };
  if (kind.kind === 'application') return { ...common, operation: 'stock', payload: { serial } };
  const length = MIN_WORDS + Math.floor(random.next() * (MAX_WORDS - MIN_WORDS));
  const words = Array.from({ length }, () => WORDS[Math.floor(random.next() * WORDS.length)] ?? '');
  const marker = isBatch ? 'closing-of-the-month ' : '';
  return { ...common, prompt: `${serial} ${marker}${words.join(' ')}`, maxTokens: MAX_TOKENS };
}

/**
 * Plans Poisson arrivals at the service of a rollout, about one in seven of them of the class
 * `batch`.
 */
export function planVersionCase(options: VersionCasePlanOptions): readonly PlannedRequest[] {
  const { versionCase, seed, durationMs, tenant } = options;
  const random = new SeededRandom(seed);
  const planned: PlannedRequest[] = [];
  let atMs = 0;
  for (;;) {
    atMs -= (Math.log(1 - random.next()) * MS_PER_S) / versionCase.rate;
    if (atMs >= durationMs) return planned;
    const body = requestBody(versionCase, random, planned.length);
    planned.push({ atMs, tenant, service: versionCase.service, body });
  }
}
