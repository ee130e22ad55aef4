import { setTimeout as sleep } from 'node:timers/promises';
import { CallerClient, RequestRefused } from '@ragwortrudder/client';
import { SeededRandom } from '@ragwortrudder/core';
import type { Fleet, FleetOptions } from '@ragwortrudder/standins';
import { withFleet } from '../node/with-fleet.ts';
import type { Experiment } from '../types/experiment.ts';
import type { ResultRow } from '../types/result-row.ts';
import { percentile } from '../utils/percentile.ts';

const TENANT = { tenant: 'buyers', key: 'key-of-buyers-0123456789' };
const ORDERS = 60;
const CONCURRENT = 6;
const SETTLE_MS = 1500;
const DEADLINE_MS = 3000;

type KeyKind = 'claimed' | 'issued';

interface Condition {
  readonly name: string;
  /** Failure domains whose nodes receive the requests. */
  readonly calledDomains: readonly string[];
  apply(fleet: Fleet): Promise<void>;
  restore(fleet: Fleet): Promise<void>;
}

interface OrderResult {
  readonly kind: 'completed' | 'not-run' | 'unknown' | 'other';
  readonly elapsedMs: number;
}

const noop = (): Promise<void> => Promise.resolve();

async function setLogFault(fleet: Fleet, mode: 'down' | 'ok'): Promise<void> {
  await fleet.platformFault({ target: 'log.append', mode });
  await fleet.platformFault({ target: 'log.read', mode });
}

const CONDITIONS: readonly Condition[] = [
  { name: 'normal', calledDomains: ['a', 'b', 'c'], apply: noop, restore: noop },
  {
    name: 'log out',
    calledDomains: ['a', 'b', 'c'],
    apply: (fleet) => setLogFault(fleet, 'down'),
    restore: (fleet) => setLogFault(fleet, 'ok'),
  },
  {
    name: 'in a domain cut off',
    calledDomains: ['a'],
    apply: (fleet) => fleet.cutFailureDomain('a'),
    restore: (fleet) => fleet.cutFailureDomain('a', 'open'),
  },
  {
    name: 'outside a domain cut off',
    calledDomains: ['b', 'c'],
    apply: (fleet) => fleet.cutFailureDomain('a'),
    restore: (fleet) => fleet.cutFailureDomain('a', 'open'),
  },
];

function fleetOptions(seed: number): FleetOptions {
  return {
    seed,
    relays: true,
    tenants: [TENANT],
    runners: [{ service: 'orders', version: 'v1', kind: 'application', count: 3 }],
  };
}

async function sendOrder(
  fleet: Fleet,
  node: string,
  keyKind: KeyKind,
  name: string,
): Promise<OrderResult> {
  const client = new CallerClient({ nodes: [node], key: TENANT.key, random: new SeededRandom(1) });
  const startedAt = performance.now();
  const resultOf = (kind: OrderResult['kind']): OrderResult => ({
    kind,
    elapsedMs: performance.now() - startedAt,
  });
  try {
    const idempotencyKey = keyKind === 'issued' ? await client.issueKey() : name;
    const body = { operation: 'reorder', payload: { name }, deadlineMs: DEADLINE_MS };
    for await (const event of client.submit({
      service: 'orders',
      body,
      idempotencyKey,
      patienceMs: 0,
    })) {
      if (event.type === 'done') return resultOf('completed');
      if (event.type === 'failed')
        return resultOf(JSON.stringify(event.data).includes('unknown') ? 'unknown' : 'not-run');
    }
    return resultOf('other');
  } catch (error) {
    if (!(error instanceof RequestRefused)) return resultOf('other');
    return resultOf(
      error.notRun ? 'not-run' : error.code === 'outcome-unknown' ? 'unknown' : 'other',
    );
  }
}

async function sendOrders(
  fleet: Fleet,
  condition: Condition,
  keyKind: KeyKind,
): Promise<readonly OrderResult[]> {
  const nodes = fleet.entries.filter(({ failureDomain }) =>
    condition.calledDomains.includes(failureDomain),
  );
  const results: OrderResult[] = [];
  for (let firstSerial = 0; firstSerial < ORDERS; firstSerial += CONCURRENT) {
    const batch = Array.from({ length: CONCURRENT }, (_, index) => {
      const serial = firstSerial + index;
      const node = nodes[serial % nodes.length]?.address ?? '';
      return sendOrder(fleet, node, keyKind, `${condition.name} ${keyKind} ${serial}`);
    });
    results.push(...(await Promise.all(batch)));
  }
  return results;
}

async function measure(fleet: Fleet, condition: Condition, keyKind: KeyKind): Promise<ResultRow> {
  const appendsBefore = (await fleet.log('claims')).length;
  await condition.apply(fleet);
  await sleep(SETTLE_MS);
  const results = await sendOrders(fleet, condition, keyKind);
  await condition.restore(fleet);
  await sleep(SETTLE_MS);
  const appends = (await fleet.log('claims')).length - appendsBefore;
  const share = (kind: OrderResult['kind']): number =>
    results.filter((one) => one.kind === kind).length / ORDERS;
  const elapsed = results.map(({ elapsedMs }) => elapsedMs);
  return {
    policy: `${keyKind}, ${condition.name}`,
    values: {
      served: share('completed'),
      'refused as not run': share('not-run'),
      unknown: share('unknown'),
      other: share('other'),
      'p50 ms': percentile(elapsed, 0.5),
      'p95 ms': percentile(elapsed, 0.95),
      'appends per order': appends / ORDERS,
    },
  };
}

/**
 * Measures the share of non-idempotent requests served at the first attempt, with claimed and with
 * issued keys.
 */
export const onceOnly: Experiment = {
  name: 'once-only',
  summary:
    'keys claimed in the log with keys that name their executor, in quiet times, outages and cuts',
  async run({ seed, log }) {
    const rows: ResultRow[] = [];
    for (const condition of CONDITIONS) {
      await withFleet(fleetOptions(seed), async (fleet) => {
        for (const keyKind of ['claimed', 'issued'] as const) {
          rows.push(await measure(fleet, condition, keyKind));
          log(`${keyKind}, ${condition.name}`);
        }
      });
    }
    return { seed, rows };
  },
};
