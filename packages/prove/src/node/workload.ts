import type { Stage } from './stage.ts';

const WORDS: readonly string[] =
  'quote mops detergent paper hospital school depot delivery price carton terms month filing index shop return'.split(
    ' ',
  );

interface WorkloadOptions {
  readonly stage: Stage;
  readonly tenants: readonly [string, ...string[]];
  /** Mean pause between two requests in milliseconds. */
  readonly pauseMs: number;
  /** How long requests are sent, in milliseconds. */
  readonly durationMs: number;
  /** Parts of quotes, stock reads and orders. */
  readonly mix: { readonly quotes: number; readonly stock: number; readonly orders: number };
  /** Tokens of a quote. */
  readonly maxTokens?: number;
  /** Part of the orders that several callers send at once under one key. */
  readonly repeated?: number;
  /** Part of the orders under a key that a node issued. */
  readonly issued?: number;
}

const DEFAULT_MAX_TOKENS = 40;
const PROMPT_WORDS = 40;

/** Sends a random mix of requests for a time and resolves when each has its final word. */
export async function runWorkload(options: WorkloadOptions): Promise<void> {
  const { stage, pauseMs, durationMs } = options;
  const endsAt = performance.now() + durationMs;
  const calls: Promise<unknown>[] = [];
  let serial = 0;
  while (performance.now() < endsAt) {
    serial += 1;
    calls.push(sendOne(options, serial));
    await stage.pause(-Math.log(1 - stage.random.next()) * pauseMs);
  }
  await Promise.all(calls);
}

async function sendOne(options: WorkloadOptions, serial: number): Promise<void> {
  const { stage, mix, tenants } = options;
  const draw = stage.random.next() * (mix.quotes + mix.stock + mix.orders);
  const tenant = stage.pick(tenants);
  if (draw < mix.quotes) await sendQuote(options, tenant, serial);
  else if (draw < mix.quotes + mix.stock) {
    await stage.call({
      tenant,
      service: 'stock',
      body: { operation: 'stock', payload: { serial } },
    });
  } else await sendOrder(options, tenant, serial);
}

async function sendQuote(
  { stage, maxTokens = DEFAULT_MAX_TOKENS }: WorkloadOptions,
  tenant: string,
  serial: number,
): Promise<void> {
  const words = Array.from(
    { length: PROMPT_WORDS },
    () => WORDS[Math.floor(stage.random.next() * WORDS.length)],
  );
  const prompt = `${serial} ${words.join(' ')}`;
  await stage.call({ tenant, service: 'quotes', body: { prompt, maxTokens } });
}

async function sendOrder(options: WorkloadOptions, tenant: string, serial: number): Promise<void> {
  const { stage, repeated = 0, issued = 0 } = options;
  const isIssued = stage.random.next() < issued;
  const copies = stage.random.next() < repeated ? 2 + Math.floor(stage.random.next() * 2) : 1;
  const key = isIssued ? await stage.issueKey(tenant) : `order-${serial}`;
  if (key === undefined) return;
  const body = { operation: 'reorder', payload: { serial } };
  await Promise.all(
    Array.from({ length: copies }, () => stage.call({ tenant, service: 'orders', key, body })),
  );
}
