import { setTimeout as sleep } from 'node:timers/promises';
import { CallerClient } from '@ragwortrudder/client';
import { SeededRandom } from '@ragwortrudder/core';
import type { Fleet } from '@ragwortrudder/standins';

interface DriveOptions {
  readonly fleet: Fleet;
  readonly kind: 'idempotent' | 'issued-key' | 'claimed-key';
  readonly requestRate: number;
  readonly ticketRate: number;
  /** Number of the latest ticket. */
  readonly tickets: number;
  readonly seconds: number;
  readonly seed: number;
}

const MS_PER_SECOND = 1000;
const DEADLINE_MS = 10_000;
const MODEL_BODY = {
  class: 'interactive',
  deadlineMs: DEADLINE_MS,
  prompt: 'list the quotes that are open today for the customer and sort them by price',
  maxTokens: 20,
};
const APPLICATION_BODY = {
  class: 'interactive',
  deadlineMs: DEADLINE_MS,
  operation: 'order',
  payload: { item: 'A-100', count: 1 },
};

async function submitRequest(
  { fleet, kind, seed }: DriveOptions,
  index: number,
): Promise<'done' | 'failed'> {
  const nodes = fleet.entries.map(({ address }) => address);
  const node = nodes[index % nodes.length] ?? '';
  const tenant = fleet.layout.tenants[index % fleet.layout.tenants.length];
  const random = new SeededRandom(seed + index);
  const client = new CallerClient({ nodes: [node], key: tenant?.key ?? '', random });
  const service = kind === 'idempotent' ? 'quotes' : 'orders';
  const body = kind === 'idempotent' ? MODEL_BODY : APPLICATION_BODY;
  let lastEventType = '';
  try {
    const key =
      kind === 'issued-key' ? await client.issueKey() : `claimed-${seed}-${index}-${process.pid}`;
    const idempotency = kind === 'idempotent' ? {} : { idempotencyKey: key };
    for await (const { type } of client.submit({ service, body, ...idempotency }))
      lastEventType = type;
  } catch {
    return 'failed';
  }
  return lastEventType === 'done' ? 'done' : 'failed';
}

/** Calls `send` with consecutive indexes at a fixed rate, without waiting for earlier calls. */
async function callAtFixedRate<T>(
  rate: number,
  seconds: number,
  send: (index: number) => Promise<T>,
): Promise<readonly T[]> {
  const startedAt = performance.now();
  const calls: Promise<T>[] = [];
  for (let index = 0; index < rate * seconds; index += 1) {
    const waitMs = startedAt + (index * MS_PER_SECOND) / rate - performance.now();
    if (waitMs > 0) await sleep(waitMs);
    calls.push(send(index));
  }
  return Promise.all(calls);
}

/** Sends requests and tickets at fixed rates for the given time and counts their outcomes. */
export async function drive(
  options: DriveOptions,
): Promise<{ readonly done: number; readonly failed: number; readonly accepted: number }> {
  const { fleet, requestRate, ticketRate, tickets, seconds } = options;
  const measurementEnd = sleep(seconds * MS_PER_SECOND);
  const [answers, replies] = await Promise.all([
    callAtFixedRate(requestRate, seconds, (index) => submitRequest(options, index)),
    callAtFixedRate(ticketRate, seconds, (index) =>
      fleet.submitTicket(tenantShareTicket(tickets + 1 + index), fleet.entries[0]?.name),
    ),
  ]);
  await measurementEnd;
  const done = answers.filter((answer) => answer === 'done').length;
  const accepted = replies.filter(({ status }) => status < 300).length;
  return { done, failed: answers.length - done, accepted };
}

function tenantShareTicket(number: number): unknown {
  const share = { weight: 2, maxConcurrent: 100, maxQueued: 100 };
  return { number, against: 1, tenants: { [`team-${number}`]: share } };
}
