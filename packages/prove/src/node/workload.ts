import type { ProofEnvironment } from './proof-environment.ts';

const VOCABULARY: readonly string[] =
  'quote mops detergent paper hospital school depot delivery price carton terms month filing index shop return'.split(
    ' ',
  );

interface WorkloadOptions {
  readonly environment: ProofEnvironment;
  readonly tenants: readonly [string, ...string[]];
  /** Mean pause between two requests in milliseconds. */
  readonly pauseMs: number;
  /** Time during which requests are sent, in milliseconds. */
  readonly durationMs: number;
  /** Relative weights of quotes, stock reads and orders. */
  readonly mix: { readonly quotes: number; readonly stock: number; readonly orders: number };
  /** Number of tokens of a quote. */
  readonly maxTokens?: number;
  /** Share of the orders that several callers send concurrently under one idempotency key. */
  readonly repeated?: number;
  /** Share of the orders whose idempotency key a node issued. */
  readonly issued?: number;
}

const DEFAULT_MAX_TOKENS = 40;
const PROMPT_WORDS = 40;

/** Sends a random mix of requests for `durationMs`. Resolves when each has its final outcome. */
export async function runWorkload(options: WorkloadOptions): Promise<void> {
  const { environment, pauseMs, durationMs } = options;
  const endsAt = performance.now() + durationMs;
  const calls: Promise<unknown>[] = [];
  let serial = 0;
  while (performance.now() < endsAt) {
    serial += 1;
    calls.push(sendOne(options, serial));
    await environment.pause(-Math.log(1 - environment.random.next()) * pauseMs);
  }
  await Promise.all(calls);
}

async function sendOne(options: WorkloadOptions, serial: number): Promise<void> {
  const { environment, mix, tenants } = options;
  const sample = environment.random.next() * (mix.quotes + mix.stock + mix.orders);
  const tenant = environment.pick(tenants);
  if (sample < mix.quotes) await sendQuote(options, tenant, serial);
  else if (sample < mix.quotes + mix.stock) {
    await environment.call({
      tenant,
      service: 'stock',
      body: { operation: 'stock', payload: { serial } },
    });
  } else await sendOrder(options, tenant, serial);
}

async function sendQuote(
  { environment, maxTokens = DEFAULT_MAX_TOKENS }: WorkloadOptions,
  tenant: string,
  serial: number,
): Promise<void> {
  const words = Array.from(
    { length: PROMPT_WORDS },
    () => VOCABULARY[Math.floor(environment.random.next() * VOCABULARY.length)],
  );
  const prompt = `${serial} ${words.join(' ')}`;
  await environment.call({ tenant, service: 'quotes', body: { prompt, maxTokens } });
}

async function sendOrder(options: WorkloadOptions, tenant: string, serial: number): Promise<void> {
  const { environment, repeated = 0, issued = 0 } = options;
  const isIssued = environment.random.next() < issued;
  const copies =
    environment.random.next() < repeated ? 2 + Math.floor(environment.random.next() * 2) : 1;
  const key = isIssued ? await environment.issueKey(tenant) : `order-${serial}`;
  if (key === undefined) return;
  const body = { operation: 'reorder', payload: { serial } };
  await Promise.all(
    Array.from({ length: copies }, () =>
      environment.call({ tenant, service: 'orders', key, body }),
    ),
  );
}
