import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { ChildProcess, Fleet } from '@ragwortrudder/standins';
import got from 'got';
import type { ExperimentOptions } from '../types/experiment-options.ts';
import type { ResultRow } from '../types/result-row.ts';
import type { ResultTable } from '../types/result-table.ts';
import { equalShareTicket } from '../utils/equal-share-ticket.ts';
import { controlCostCases } from './control-cost-cases.ts';
import { drive } from './control-cost-drive.ts';
import { ControlCostReader } from './control-cost-reader.ts';

type Case = ReturnType<typeof controlCostCases>[string][number];
type Snapshot = Awaited<ReturnType<ControlCostReader['read']>>;
type RemoteSide = 'peers' | 'platform' | 'runners' | 'callers';

const PROGRAM = fileURLToPath(new URL('../cli/control-cost-node.ts', import.meta.url));
const TSX = import.meta.resolve('tsx');
const SETTLE_MS = 12_000;
const MEASURED_SECONDS = 20;
const IDLE_MS = 3000;
const MS_PER_SECOND = 1000;
const BYTES_PER_MB = 1024 * 1024;
const PERCENT = 100;

interface NodeCost {
  readonly first: Snapshot;
  readonly last: Snapshot;
  readonly sideOf: (name: string) => RemoteSide;
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/** Returns the increase per second of one count over the connections to or from `side`. */
function rate(
  { first, last, sideOf }: NodeCost,
  side: RemoteSide,
  count: 'sent' | 'received' | 'requests',
) {
  const sum = (snapshot: Snapshot): number =>
    Object.entries(snapshot.counts)
      .filter(([name]) => sideOf(name) === side)
      .reduce((total, [, counts]) => total + counts[count], 0);
  return ((sum(last) - sum(first)) / (last.at - first.at)) * MS_PER_SECOND;
}

function valuesOf(cost: NodeCost, idle: Snapshot): Readonly<Record<string, number>> {
  const { first, last } = cost;
  return {
    'cpu % of a core': ((last.cpuBefore - first.cpuAfter) / (last.at - first.at)) * PERCENT,
    'heap over idle MB': (last.heap - idle.heap) / BYTES_PER_MB,
    'resident over idle MB': (last.rss - idle.rss) / BYTES_PER_MB,
    'peer calls/s': rate(cost, 'peers', 'requests'),
    'peer sent B/s': rate(cost, 'peers', 'sent'),
    'peer received B/s': rate(cost, 'peers', 'received'),
    'platform calls/s': rate(cost, 'platform', 'requests'),
    'platform sent B/s': rate(cost, 'platform', 'sent'),
    'platform received B/s': rate(cost, 'platform', 'received'),
    'runner calls/s': rate(cost, 'runners', 'requests'),
    'runner sent B/s': rate(cost, 'runners', 'sent'),
    'runner received B/s': rate(cost, 'runners', 'received'),
  };
}

function averageOf(
  nodeValues: readonly Readonly<Record<string, number>>[],
): Readonly<Record<string, number>> {
  const names = Object.keys(nodeValues[0] ?? {});
  return Object.fromEntries(
    names.map((name) => [name, mean(nodeValues.map((values) => values[name] ?? 0))]),
  );
}

function portOf(address: string | undefined): string {
  return address?.split(':').at(-1) ?? '';
}

/** Returns a function that maps a connection name, `to:PORT` or `at:PORT`, to its remote side. */
function remoteSideLookup(fleet: Fleet): (name: string) => RemoteSide {
  const peers = new Set(fleet.entries.map(({ peerAddress }) => portOf(peerAddress)));
  const callers = new Set(fleet.entries.map(({ address }) => portOf(address)));
  const platform = portOf(fleet.platformAddress);
  return (name) => {
    const port = portOf(name);
    if (peers.has(port)) return 'peers';
    if (callers.has(port)) return 'callers';
    return port === platform ? 'platform' : 'runners';
  };
}

/** Measures the baseline cost of an idle process that has loaded the same program. */
async function idleCost(reader: ControlCostReader): Promise<Snapshot> {
  const args = [`--import=${TSX}`, PROGRAM, 'version'];
  const child = new ChildProcess({ name: 'idle', command: process.execPath, args });
  try {
    await sleep(IDLE_MS);
    return await reader.read(child.pid ?? 0);
  } finally {
    await child.close();
  }
}

async function submitTickets(fleet: Fleet, count: number): Promise<void> {
  const tenants = fleet.layout.tenants.map(({ tenant }) => tenant);
  const services = [...new Set(fleet.runners.map(({ service }) => service))];
  await fleet.submitTicket(equalShareTicket({ services, tenants }));
  const share = { weight: 2, maxConcurrent: 100, maxQueued: 100 };
  for (let number = 2; number <= count; number += 1) {
    await fleet.submitTicket({ number, against: 1, tenants: { [`team-${number}`]: share } });
  }
}

/** Adds VMs to the platform's list that run neither a node nor a runner. */
async function listVms(fleet: Fleet, count: number): Promise<void> {
  for (let index = 0; index < count; index += 1) {
    const vm = { id: `vm-listed-${index}`, failureDomain: 'a', address: `10.0.0.1:${index}` };
    const labels = { service: 'other', version: 'v1' };
    await got.post(`http://${fleet.platformAddress}/control/vms`, {
      json: { ...vm, labels },
    });
  }
}

async function measure(
  costCase: Case,
  seed: number,
  reader: ControlCostReader,
): Promise<ResultRow> {
  const idle = await idleCost(reader);
  const fleet = new Fleet({ ...costCase.options, program: PROGRAM });
  try {
    await fleet.start();
    await listVms(fleet, costCase.listed);
    await submitTickets(fleet, costCase.tickets);
    await sleep(SETTLE_MS);
    const pids = fleet.entries.map(({ name }) => fleet.pid(name) ?? 0);
    const claimsBefore = (await fleet.log('claims')).length;
    const first = await Promise.all(pids.map((pid) => reader.read(pid)));
    const { kind, requestRate, ticketRate } = costCase;
    const tickets = Math.max(1, costCase.tickets);
    const seconds = MEASURED_SECONDS;
    const result = await drive({
      ...{ fleet, kind, requestRate, ticketRate, tickets, seconds, seed },
    });
    const last = await Promise.all(pids.map((pid) => reader.read(pid)));
    const claimsAfter = (await fleet.log('claims')).length;
    const sideOf = remoteSideLookup(fleet);
    const costs = last.flatMap((end, index) => {
      const start = first[index];
      return start ? [valuesOf({ first: start, last: end, sideOf }, idle)] : [];
    });
    return {
      policy: costCase.name,
      values: {
        ...averageOf(costs),
        'claim appends/s': (claimsAfter - claimsBefore) / MEASURED_SECONDS,
        done: result.done,
        failed: result.failed,
        'tickets taken': result.accepted,
      },
    };
  } finally {
    await fleet.close();
  }
}

/** Measures the cost of the control plane per node while one quantity is varied. */
export async function controlCost(
  { seed, log }: ExperimentOptions,
  varied: string,
): Promise<ResultTable> {
  const reader = await ControlCostReader.open();
  try {
    const rows: ResultRow[] = [];
    for (const costCase of controlCostCases(seed)[varied] ?? []) {
      log(costCase.name);
      const row = await measure(costCase, seed, reader);
      log(JSON.stringify(row));
      rows.push(row);
    }
    return { seed, rows };
  } finally {
    await reader.close();
  }
}
