import test from 'ava';
import { SeededRandom, SystemClock } from '@ragwortrudder/core';
import type { Closeable } from '@ragwortrudder/core';
import { EngineRunner, RunnerHost } from '@ragwortrudder/standins';
import type { Platform } from '@ragwortrudder/standins';
import type { TicketState } from '@ragwortrudder/tickets';
import got from 'got';
import { LiveIncarnation } from '../../packages/node/src/node/lifecycle/live-incarnation.ts';
import { LeaseManager } from '../../packages/node/src/node/leases/lease-manager.ts';
import { Metrics } from '../../packages/node/src/node/metrics/metrics.ts';
import { StateLog } from '../../packages/node/src/node/metrics/state-log.ts';
import { RunnerClient } from '../../packages/node/src/node/runners/runner-client.ts';
import { EngineClient } from '../../packages/node/src/node/supply/engine-client.ts';
import { ReturningVms } from '../../packages/node/src/node/supply/returning-vms.ts';
import { SupplyJobs } from '../../packages/node/src/node/supply/supply-jobs.ts';
import {
  control,
  startPlatform,
  supplySettings,
  ticketsOf,
  until,
  vmsOf,
} from './supply-harness.ts';

const LABELS = { service: 'quotes', version: 'v1', kind: 'model' };

/** The components of a node that manage the supply of VMs. */
class SupplyNode implements Closeable {
  readonly metrics = new Metrics();
  readonly jobs: SupplyJobs;
  readonly life: { readonly ready: boolean };
  readonly leaving = new Set<string>();
  tickets: TicketState;
  ready = true;
  readonly #components: readonly Closeable[];

  constructor(nodeId: string, platform: Platform, tickets: TicketState) {
    const settings = supplySettings(nodeId, platform.address);
    const clock = new SystemClock();
    const { metrics } = this;
    const log = new StateLog(settings, metrics);
    this.tickets = tickets;
    const self = new LiveIncarnation({ nodeId, number: 1 });
    const peers = { reachable: [], hasLowestId: true };
    const leases = new LeaseManager(
      settings,
      clock,
      new SeededRandom(3),
      self,
      peers,
      metrics,
      log,
    );
    const [runners, engines] = [new RunnerClient(settings), new EngineClient()];
    const returning = new ReturningVms({
      leavingVms: [],
      markLeaving: (vmId) => this.leaving.add(vmId),
    });
    const isReady = (): boolean => this.ready;
    const state = (): TicketState => this.tickets;
    this.life = {
      get ready() {
        return isReady();
      },
    };
    const ticketStore = {
      get state() {
        return state();
      },
    };
    this.jobs = new SupplyJobs(
      ...([settings, clock, ticketStore, leases, this.life] as const),
      ...([runners, engines, returning, metrics, log] as const),
    );
    this.#components = [this.jobs, leases, runners, engines];
  }

  async close(): Promise<void> {
    for (const component of this.#components) await component.close();
  }
}

/** Starts engines of two versions that the platform assigns to the VMs that it starts. */
async function startSpareEngines(platform: Platform): Promise<Closeable> {
  const spareVms = ['a', 'b', 'c'].flatMap((failureDomain) =>
    ['v1', 'v2'].flatMap((version) => [1, 2, 3, 4, 5].map(() => ({ failureDomain, version }))),
  );
  const runners = spareVms.map((_, index) => new EngineRunner({ id: `m${index}` }));
  const host = new RunnerHost(runners, (runner) => runner.stats());
  await host.listen();
  const spares = spareVms.map(({ failureDomain, version }, index) => ({
    ...{ failureDomain, address: runners[index]?.address, labels: { ...LABELS, version } },
    control: `http://127.0.0.1:${host.port}/control/runners/m${index}`,
  }));
  await control(platform.address, 'spares', { spares });
  return host;
}

async function withNodes(
  tickets: TicketState,
  run: (nodes: readonly [SupplyNode, SupplyNode], platform: Platform) => Promise<void>,
): Promise<void> {
  const platform = await startPlatform();
  const host = await startSpareEngines(platform);
  const nodes = [
    new SupplyNode('a', platform, tickets),
    new SupplyNode('b', platform, tickets),
  ] as const;
  try {
    for (const { jobs } of nodes) jobs.start();
    await run(nodes, platform);
  } finally {
    await Promise.all(nodes.map((node) => node.close()));
    await platform.close();
    await host.close();
  }
}

function isSupplied({ jobs }: SupplyNode): boolean {
  const [status] = jobs.statuses;
  if (!status) return false;
  return status.pendingStarts === 0 && status.protectedRunners >= 4;
}

async function startsOf(nodes: readonly SupplyNode[]): Promise<number> {
  const counts = nodes.map(({ metrics }) => metrics.totalsByLabel('supply_actions', 'action'));
  return (await Promise.all(counts)).reduce((sum, { start = 0 }) => sum + start, 0);
}

test('the supply of a service without a configured capacity is not managed', async (t) => {
  await withNodes(ticketsOf(undefined), async (nodes, platform) => {
    await control(platform.address, 'vms', { id: 'x', failureDomain: 'a', labels: LABELS });
    for (const { jobs } of nodes) for (let step = 0; step < 5; step += 1) await jobs.step();
    const answer = await got(`http://${platform.address}/control/log/leases`).json();
    t.deepEqual(answer, { records: [] });
    t.is((await vmsOf(platform)).length, 1);
    t.is(await startsOf(nodes), 0);
  });
});

test('another node takes the supply job over from a leaving one without starting VMs again', async (t) => {
  await withNodes(ticketsOf(4), async (nodes, platform) => {
    await until(() => nodes.some(isSupplied));
    const [first, second] = isSupplied(nodes[0]) ? nodes : [nodes[1], nodes[0]];
    t.deepEqual(second.jobs.statuses, []);
    const before = (await vmsOf(platform)).length;
    first.ready = false;
    await until(() => isSupplied(second));
    t.is((await vmsOf(platform)).length, before);
    t.is(await startsOf(nodes), before);
  });
});

test('each engine on a started VM receives exactly one order to load its version', async (t) => {
  await withNodes(ticketsOf(4), async (nodes, platform) => {
    await until(() => nodes.some(isSupplied));
    const loads = async (): Promise<number> => {
      const counts = nodes.map(({ metrics }) => metrics.totalsByLabel('supply_actions', 'action'));
      return (await Promise.all(counts)).reduce((sum, { load = 0 }) => sum + load, 0);
    };
    await until(async () => (await loads()) >= (await vmsOf(platform)).length);
    const vms = await vmsOf(platform);
    const engines = new EngineClient();
    const states = await Promise.all(vms.map(({ address }) => engines.state(address)));
    await engines.close();
    t.deepEqual([...new Set(states.map(({ version }) => version))], ['v1']);
    t.is(await loads(), vms.length);
  });
});

test('after a rollout the VMs of the old version are returned and those of the new one remain', async (t) => {
  await withNodes(ticketsOf(4), async (nodes, platform) => {
    await until(() => nodes.some(isSupplied));
    const old = new Set((await vmsOf(platform)).map(({ id }) => id));
    for (const node of nodes) node.tickets = ticketsOf(4, { version: 'v2' });
    await until(async () => (await vmsOf(platform)).every(({ id }) => !old.has(id)));
    t.true((await vmsOf(platform)).every(({ labels }) => labels.version === 'v2'));
    await until(() => nodes.some(isSupplied));
    t.pass();
  });
});
