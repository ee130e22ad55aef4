import { SeededRandom } from '@ragwortrudder/core';
import type { PlannedRequest } from '../types/planned-request.ts';
import type { WorkloadOptions } from '../types/workload-options.ts';
import { burstArrivals } from './burst-arrivals.ts';

const WORDS: readonly string[] =
  'mop detergent paper carton hospital school depot price term month filing index shop return soap pallet'.split(
    ' ',
  );
const FORM_COUNT = 4;
const CATALOGUE_WORDS = 64;
const FORM_WORDS = 160;
const FIRST_TURN_WORDS = 136;
const WORDS_PER_TURN = 100;
const MAX_TURNS = 7;
const MIN_TURNS = 3;
const MEAN_THINK_MS = 2500;
const MIN_THINK_MS = 1000;
const QUOTE_TOKENS = 24;
const RECONCILIATION_TOKENS = 40;
const QUESTION_TOKENS = 12;
const DEFAULT_DEADLINE_MS = 15_000;
/**
 * Sessions are also started this long before the run, so that some are in progress when it begins.
 */
const LEAD_IN_MS = 15_000;

/** Draws random numbers, words and tenants for a workload. */
class WorkloadSampler {
  readonly random: SeededRandom;
  readonly #tenants: readonly (readonly [string, number])[];

  constructor(seed: number, tenants: Readonly<Record<string, number>>) {
    this.random = new SeededRandom(seed);
    this.#tenants = Object.entries(tenants);
  }

  integer(min: number, max: number): number {
    return min + Math.floor(this.random.next() * (max - min + 1));
  }

  words(count: number): string {
    return Array.from({ length: count }, () => this.#word()).join(' ');
  }

  tenant(): string {
    const total = this.#tenants.reduce((sum, [, share]) => sum + share, 0);
    let remaining = this.random.next() * total;
    for (const [tenant, share] of this.#tenants) {
      remaining -= share;
      if (remaining < 0) return tenant;
    }
    return '';
  }

  #word(): string {
    return `${WORDS[this.integer(0, WORDS.length - 1)] ?? ''}${this.integer(0, 99)}`;
  }
}

/** Returns deterministic text that serves as a common prefix of many prompts. */
function sharedText(name: string, count: number): string {
  return Array.from({ length: count }, (_, index) => `${name}-${index}`).join(' ');
}

function planQuoteSession(
  sampler: WorkloadSampler,
  startMs: number,
  deadlineMs: number,
): PlannedRequest[] {
  const tenant = sampler.tenant();
  const turns = sampler.integer(MIN_TURNS, MAX_TURNS);
  let prompt = `${sharedText(`catalogue-${tenant}`, CATALOGUE_WORDS)} ${sampler.words(FIRST_TURN_WORDS)}`;
  let atMs = startMs;
  return Array.from({ length: turns }, () => {
    const body = { class: 'interactive', deadlineMs, prompt, maxTokens: QUOTE_TOKENS };
    const request = { atMs, tenant, service: 'quotes', body };
    prompt += ` ${sampler.words(WORDS_PER_TURN)}`;
    atMs += MIN_THINK_MS - Math.log(1 - sampler.random.next()) * (MEAN_THINK_MS - MIN_THINK_MS);
    return request;
  });
}

function planReconciliation(
  sampler: WorkloadSampler,
  atMs: number,
  deadlineMs: number,
): PlannedRequest {
  const form = sharedText(`form-${sampler.integer(1, FORM_COUNT)}`, FORM_WORDS);
  const prompt = `${form} ${sampler.words(sampler.integer(200, 600))}`;
  const body = { class: 'batch', deadlineMs, prompt, maxTokens: RECONCILIATION_TOKENS };
  return { atMs, tenant: sampler.tenant(), service: 'reconciliation', body };
}

function planQuestion(sampler: WorkloadSampler, atMs: number, deadlineMs: number): PlannedRequest {
  const form = sharedText(`form-${sampler.integer(1, FORM_COUNT)}`, FORM_WORDS);
  const prompt = `${form} ${sampler.words(sampler.integer(20, 60))}`;
  const body = { class: 'interactive', deadlineMs, prompt, maxTokens: QUESTION_TOKENS };
  return { atMs, tenant: sampler.tenant(), service: 'reconciliation', body };
}

function planOperation(
  sampler: WorkloadSampler,
  service: string,
  atMs: number,
  deadlineMs: number,
): PlannedRequest {
  const payload = { item: sampler.words(1) };
  const body = { class: 'interactive', deadlineMs, operation: service, payload };
  const request = { atMs, tenant: sampler.tenant(), service, body };
  if (service === 'stock') return request;
  return {
    ...request,
    idempotencyKey: `${service}-${sampler.integer(0, 1e9)}-${Math.round(atMs)}`,
  };
}

/** Plans the requests to model and application services, ordered by arrival time. */
export function planWorkload(options: WorkloadOptions): readonly PlannedRequest[] {
  const { seed, durationMs, rates, tenants, deadlineMs = DEFAULT_DEADLINE_MS } = options;
  const sampler = new WorkloadSampler(seed, tenants);
  const arrivalTimes = (rate: number, leadInMs = 0): readonly number[] =>
    burstArrivals({ random: sampler.random, rate, fromMs: -leadInMs, toMs: durationMs });
  const planned = [
    ...arrivalTimes(rates.quoteSessions, LEAD_IN_MS).flatMap((at) =>
      planQuoteSession(sampler, at, deadlineMs),
    ),
    ...arrivalTimes(rates.reconciliations).map((at) => planReconciliation(sampler, at, deadlineMs)),
    ...arrivalTimes(rates.questions).map((at) => planQuestion(sampler, at, deadlineMs)),
    ...arrivalTimes(rates.stock).map((at) => planOperation(sampler, 'stock', at, deadlineMs)),
    ...arrivalTimes(rates.reorders).map((at) => planOperation(sampler, 'orders', at, deadlineMs)),
    ...arrivalTimes(rates.filings).map((at) => planOperation(sampler, 'filing', at, deadlineMs)),
  ];
  return planned
    .filter(({ atMs }) => atMs >= 0 && atMs < durationMs)
    .sort((a, b) => a.atMs - b.atMs);
}
