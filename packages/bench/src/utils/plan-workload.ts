import { SeededRandom } from '@ragwortrudder/core';
import type { PlannedRequest } from '../types/planned-request.ts';
import type { WorkloadOptions } from '../types/workload-options.ts';
import { burstArrivals } from './burst-arrivals.ts';

const WORDS: readonly string[] =
  'mop detergent paper carton hospital school depot price term month filing index shop return soap pallet'.split(
    ' ',
  );
const FORMS = 4;
const CATALOGUE_WORDS = 64;
const FORM_WORDS = 160;
const FIRST_WORDS = 136;
const TURN_WORDS = 100;
const MAX_TURNS = 7;
const MIN_TURNS = 3;
const THINK_MS = 2500;
const MIN_THINK_MS = 1000;
const QUOTE_TOKENS = 24;
const RECONCILIATION_TOKENS = 40;
const QUESTION_TOKENS = 12;
const DEFAULT_DEADLINE_MS = 15_000;
/** Sessions that begin before the run, so that it starts with sessions under way. */
const LEAD_MS = 15_000;

/** Draws what a workload needs. */
class Draws {
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
    let left = this.random.next() * total;
    for (const [tenant, share] of this.#tenants) {
      left -= share;
      if (left < 0) return tenant;
    }
    return '';
  }

  #word(): string {
    return `${WORDS[this.integer(0, WORDS.length - 1)] ?? ''}${this.integer(0, 99)}`;
  }
}

/** Text that many prompts begin with. */
function sharedText(name: string, count: number): string {
  return Array.from({ length: count }, (_, index) => `${name}-${index}`).join(' ');
}

function quoteSession(draws: Draws, startMs: number, deadlineMs: number): PlannedRequest[] {
  const tenant = draws.tenant();
  const turns = draws.integer(MIN_TURNS, MAX_TURNS);
  let prompt = `${sharedText(`catalogue-${tenant}`, CATALOGUE_WORDS)} ${draws.words(FIRST_WORDS)}`;
  let atMs = startMs;
  return Array.from({ length: turns }, () => {
    const body = { class: 'interactive', deadlineMs, prompt, maxTokens: QUOTE_TOKENS };
    const request = { atMs, tenant, service: 'quotes', body };
    prompt += ` ${draws.words(TURN_WORDS)}`;
    atMs += MIN_THINK_MS - Math.log(1 - draws.random.next()) * (THINK_MS - MIN_THINK_MS);
    return request;
  });
}

function reconciliation(draws: Draws, atMs: number, deadlineMs: number): PlannedRequest {
  const form = sharedText(`form-${draws.integer(1, FORMS)}`, FORM_WORDS);
  const prompt = `${form} ${draws.words(draws.integer(200, 600))}`;
  const body = { class: 'batch', deadlineMs, prompt, maxTokens: RECONCILIATION_TOKENS };
  return { atMs, tenant: draws.tenant(), service: 'reconciliation', body };
}

function question(draws: Draws, atMs: number, deadlineMs: number): PlannedRequest {
  const form = sharedText(`form-${draws.integer(1, FORMS)}`, FORM_WORDS);
  const prompt = `${form} ${draws.words(draws.integer(20, 60))}`;
  const body = { class: 'interactive', deadlineMs, prompt, maxTokens: QUESTION_TOKENS };
  return { atMs, tenant: draws.tenant(), service: 'reconciliation', body };
}

function operation(
  draws: Draws,
  service: string,
  atMs: number,
  deadlineMs: number,
): PlannedRequest {
  const payload = { item: draws.words(1) };
  const body = { class: 'interactive', deadlineMs, operation: service, payload };
  const request = { atMs, tenant: draws.tenant(), service, body };
  if (service === 'stock') return request;
  return { ...request, idempotencyKey: `${service}-${draws.integer(0, 1e9)}-${Math.round(atMs)}` };
}

/** Plans the arrivals of both deployments, in order of time. */
export function planWorkload(options: WorkloadOptions): readonly PlannedRequest[] {
  const { seed, durationMs, rates, tenants, deadlineMs = DEFAULT_DEADLINE_MS } = options;
  const draws = new Draws(seed, tenants);
  const times = (rate: number, leadMs = 0): readonly number[] =>
    burstArrivals({ random: draws.random, rate, fromMs: -leadMs, toMs: durationMs });
  const planned = [
    ...times(rates.quoteSessions, LEAD_MS).flatMap((at) => quoteSession(draws, at, deadlineMs)),
    ...times(rates.reconciliations).map((at) => reconciliation(draws, at, deadlineMs)),
    ...times(rates.questions).map((at) => question(draws, at, deadlineMs)),
    ...times(rates.stock).map((at) => operation(draws, 'stock', at, deadlineMs)),
    ...times(rates.reorders).map((at) => operation(draws, 'orders', at, deadlineMs)),
    ...times(rates.filings).map((at) => operation(draws, 'filing', at, deadlineMs)),
  ];
  return planned
    .filter(({ atMs }) => atMs >= 0 && atMs < durationMs)
    .sort((a, b) => a.atMs - b.atMs);
}
