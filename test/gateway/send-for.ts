import { setTimeout as sleep } from 'node:timers/promises';
import type { GatewayHarness } from './gateway-harness.ts';

/** How a request ended; the status is 0 when its connection was lost before one came. */
export interface SentOutcome {
  readonly status: number;
  readonly sentAt: number;
  readonly tookMs: number;
  /** `NaN` without the header. */
  readonly retryAfterMs: number;
}

const PERIOD_MS = 20;
const MS_PER_S = 1_000;

/** Sends requests to gateways in turn for a time. */
export async function sendFor(
  gateways: readonly (GatewayHarness | undefined)[],
  ms: number,
): Promise<readonly SentOutcome[]> {
  const calls: Promise<SentOutcome>[] = [];
  const endsAt = performance.now() + ms;
  for (let count = 0; performance.now() < endsAt; count += 1) {
    const gateway = gateways[count % gateways.length];
    if (gateway) calls.push(sendOne(gateway));
    await sleep(PERIOD_MS);
  }
  return Promise.all(calls);
}

async function sendOne(gateway: GatewayHarness): Promise<SentOutcome> {
  const sentAt = performance.now();
  const id = `${gateway.options.node ?? ''}-${sentAt}`;
  const reply = await gateway.call({ headers: { 'Request-Id': id } }).catch(() => undefined);
  return {
    status: reply?.status ?? 0,
    sentAt,
    tookMs: performance.now() - sentAt,
    retryAfterMs: Number(reply?.headers['retry-after']) * MS_PER_S,
  };
}
