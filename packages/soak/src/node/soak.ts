import { mkdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { request as sendRequest } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { SeededRandom } from '@ragwortrudder/core';
import type { Random } from '@ragwortrudder/core';
import { freeAddresses, KeyedStore, Relay } from '@ragwortrudder/standins';
import type { PlannedFault } from '../types/planned-fault.ts';
import type { SoakOptions } from '../types/soak-options.ts';
import type { SoakResult } from '../types/soak-result.ts';
import { RequestTracker } from '../utils/request-tracker.ts';
import { planFaults } from '../utils/plan-faults.ts';
import { FaultInjector } from './fault-injector.ts';
import { StoreWriter } from './store-writer.ts';
import { SoakCaller } from './soak-caller.ts';
import { SoakCloud } from './soak-cloud.ts';
import { SoakNode } from './soak-node.ts';
import { SoakRunner } from './soak-runner.ts';

const DOMAINS = ['a', 'b', 'c'] as const;
/** Services of the runners. Routes move from the first one to the second. */
const SERVICES = ['work', 'work', 'work', 'work', 'more', 'more', 'more'] as const;
const TEAMS = [
  { name: 'team-1', apiKey: 'key-1' },
  { name: 'team-2', apiKey: 'key-2' },
] as const;
/** Maximum time that the traffic waits for the processes to become ready, in milliseconds. */
const READY_TIMEOUT_MS = 12_000;
const READY_POLL_MS = 100;
/** Final period of the traffic, without faults, in which requests must succeed again, in milliseconds. */
const RECOVERED_PERIOD_MS = 2_000;
/** Share of the requests in the final period that must succeed. */
const RECOVERED_SHARE = 0.9;
/** Time after which a runner that crashed under a prompt is back, in milliseconds. */
const CRASHED_MS = 800;
/** Part of the traffic after which the nodes are upgraded. */
const UPGRADE_PART = 4;
const ADDRESSES_PER_NODE = 4;
const HTTP_OK = 200;

interface NodeAddresses {
  readonly callers: string;
  readonly readiness: string;
  readonly metrics: string;
  readonly peers: string;
  readonly store: string;
  readonly cloud: string;
}

interface EnvironmentNode extends Pick<NodeAddresses, 'callers' | 'readiness'> {
  readonly node: SoakNode;
}

interface SoakEnvironment {
  readonly tracker: RequestTracker;
  readonly nodes: readonly EnvironmentNode[];
  readonly injector: FaultInjector;
  readonly newestPath: () => string;
  readonly close: () => Promise<void>;
}

/** One randomized run: starts all processes, injects the faults and checks the recorded requests. */
export class Soak {
  readonly #options: SoakOptions;
  readonly #random: Random;

  constructor(options: SoakOptions) {
    this.#options = options;
    this.#random = new SeededRandom(options.seed);
  }

  async run(): Promise<SoakResult> {
    const { seed, lengthMs, nodes, production } = this.#options;
    const planned = planFaults({ lengthMs, nodes, runners: SERVICES.length, random: this.#random });
    const upgrade = {
      kind: 'upgrade',
      atMs: lengthMs / UPGRADE_PART,
      forMs: 0,
      target: 0,
    } as const;
    const faults = production === undefined ? planned : [...planned, upgrade];
    const environment = await this.#start();
    try {
      await waitUntilReady(environment.nodes.map(({ readiness }) => readiness));
      const requests = await this.#runTraffic(environment, faults);
      const violations = environment.tracker.check();
      return { seed, faults, requests, statuses: environment.tracker.statuses, violations };
    } finally {
      await environment.close();
    }
  }

  async #runTraffic(
    { tracker, nodes, injector, newestPath }: SoakEnvironment,
    faults: readonly PlannedFault[],
  ): Promise<number> {
    const { lengthMs, callers: count, seed } = this.#options;
    const targets = nodes.map(({ node, callers: address }) => ({ id: node.id, address }));
    const callers = Array.from({ length: count }, (_item, index) => {
      const { name: team, apiKey } = TEAMS[index % TEAMS.length] ?? { name: '', apiKey: '' };
      const random = new SeededRandom(seed * count + index);
      return new SoakCaller({
        name: `s${seed}-c${index}`,
        nodes: targets,
        team,
        apiKey,
        tracker,
        random,
      });
    });
    const startedAt = performance.now();
    for (const caller of callers) caller.start();
    const injections = faults.map(async (fault) => {
      await sleep(fault.atMs);
      await injector.inject(fault);
    });
    await sleep(lengthMs);
    await Promise.all(callers.map((caller) => caller.close()));
    await Promise.all(injections);
    const { total, served } = tracker.servedSince(startedAt + lengthMs - RECOVERED_PERIOD_MS);
    if (served < total * RECOVERED_SHARE) {
      tracker.recordViolation(
        'recovery',
        `${served} of ${total} requests were served after the last fault`,
      );
    }
    const requests = tracker.servedSince(0).total;
    for (const { node, callers: address } of nodes) {
      const id = `probe-${node.id}`;
      tracker.recordRequest({
        id,
        kind: 'read',
        node: node.id,
        team: TEAMS[0].name,
        body: '',
        events: 0,
        at: performance.now(),
      });
      const status = await statusOf(address, newestPath(), id);
      if (status === HTTP_OK) continue;
      tracker.recordViolation(
        'configuration',
        `${node.id} answered ${status ?? 'nothing'} on ${newestPath()}`,
      );
    }
    return requests;
  }

  async #start(): Promise<SoakEnvironment> {
    const { folder, nodes: count } = this.#options;
    mkdirSync(folder, { recursive: true });
    const tracker = new RequestTracker(count, ({ id, node }) =>
      readLog(folder, node).includes(`"request":"${id}"`),
    );
    const store = await new KeyedStore().listen();
    const cloud = new SoakCloud({
      onViolation: (message) => {
        tracker.recordViolation('one-holder', message);
      },
    });
    await cloud.listen();
    let crash: (target: number) => void = () => undefined;
    const runners = SERVICES.map((_service, index) => {
      return new SoakRunner({
        id: `r${index}`,
        onCrash: (cause) => {
          tracker.recordCrash(cause);
          crash(index);
        },
        onRun: (run) => {
          tracker.recordRun(run);
        },
        onDisturbed: (id) => {
          tracker.recordDisturbed(id);
        },
      });
    });
    for (const runner of runners) await runner.listen();
    const relay = new Relay([
      ...Array.from({ length: count }, (_item, index) => {
        return { name: `store-${index}`, target: store.address };
      }),
      ...runners.map(({ address }, index) => ({ name: `runner-${index}`, target: address })),
    ]);
    await relay.listen();
    const linkPorts = new Map(relay.links().map(({ name, port }) => [name, port]));
    const linkOf = (name: string): string => `127.0.0.1:${linkPorts.get(name) ?? 0}`;
    const storeWriter = new StoreWriter({
      store,
      teams: TEAMS,
      random: this.#random,
      runners: runners.map((runner, index) => ({
        runner,
        service: SERVICES[index] ?? 'work',
        failureDomain: DOMAINS[index % DOMAINS.length] ?? 'a',
        address: linkOf(`runner-${index}`),
      })),
    });
    storeWriter.registerAll();
    crash = (target) => void storeWriter.crash(target, CRASHED_MS);
    const nodeLinks = new Relay(
      Array.from({ length: count }).flatMap((_item, node) => {
        return runners.map((_runner, index) => {
          return { name: `${node}-${index}`, target: linkOf(`runner-${index}`) };
        });
      }),
    );
    await nodeLinks.listen();
    const nodeLinkPorts = new Map(nodeLinks.links().map(({ name, port }) => [name, port]));
    const routesOf = (node: number): Readonly<Record<string, string>> =>
      Object.fromEntries(
        runners.map((_runner, index) => {
          const port = nodeLinkPorts.get(`${node}-${index}`) ?? 0;
          return [linkOf(`runner-${index}`), `127.0.0.1:${port}`];
        }),
      );
    const addresses = await freeAddresses(count * ADDRESSES_PER_NODE);
    const nodes = Array.from({ length: count }, (_item, index) => {
      const [callers = '', readiness = '', metrics = '', peers = ''] = addresses.slice(
        index * ADDRESSES_PER_NODE,
      );
      const store = linkOf(`store-${index}`);
      const settings = settingsOf(index, {
        callers,
        readiness,
        metrics,
        peers,
        store,
        cloud: cloud.address,
      });
      const node = new SoakNode({
        id: `n${index}`,
        folder,
        settings,
        routes: routesOf(index),
        production: this.#options.production,
        onOwnEnd: (how) => {
          tracker.recordViolation(
            'own-end',
            `the process of n${index} ended by itself or has a fault: ${how}`,
          );
        },
      });
      return { node, callers, readiness };
    });
    for (const { node } of nodes) node.start();
    return {
      tracker,
      nodes,
      newestPath: () => storeWriter.newestPath,
      injector: new FaultInjector({
        nodes: nodes.map(({ node }) => node),
        store,
        cloud,
        relay,
        nodeLinks,
        storeWriter,
        tracker,
        startCrashingCaller: (cause) => {
          const caller = new SoakCaller({
            name: `s${this.#options.seed}-${cause.crashingPart ?? cause.crashingPath ?? ''}`,
            nodes: nodes.map(({ node, callers: address }) => ({ id: node.id, address })),
            team: TEAMS[0].name,
            apiKey: TEAMS[0].apiKey,
            tracker,
            random: new SeededRandom(this.#options.seed),
            ...cause,
          });
          caller.start();
          return caller;
        },
      }),
      close: async () => {
        await Promise.all(nodes.map(({ node }) => node.close()));
        for (const part of [nodeLinks, relay, store, cloud, ...runners]) await part.close();
      },
    };
  }
}

/** What a node has logged so far. */
function readLog(folder: string, node: string): string {
  return readFileSync(join(folder, `${node}.log`), 'utf8');
}

function settingsOf(index: number, addresses: NodeAddresses): object {
  const { callers, readiness, metrics, peers, store, cloud } = addresses;
  const [host, peerPort] = peers.split(':');
  return {
    node: { id: `n${index}`, host, failureDomain: DOMAINS[index % DOMAINS.length] },
    listen: { callers, readiness, metrics, peerPort: Number(peerPort) },
    store: { address: store },
    cloud: { address: cloud, duties: ['usage_report', 'autoscale'] },
    graceS: 8,
    retries: { ratio: 0.2, slack: 60, windowS: 10 },
    quotas: { overage: 0.1, slack: 100 },
    duties: { leaseMs: 3_000, usageWindowS: 5, usageLateS: 10 },
  };
}

/** Status that a node answers to a request; undefined when it does not answer. */
async function statusOf(address: string, path: string, id: string): Promise<number | undefined> {
  const [host, port] = address.split(':');
  const headers = { Host: 'soak.example', 'Request-Id': id, 'X-Api-Key': TEAMS[0].apiKey };
  return new Promise((resolve) => {
    const client = sendRequest({ host, port, path, headers, agent: false }, (response) => {
      response.resume();
      resolve(response.statusCode);
    });
    client.on('error', () => {
      resolve(undefined);
    });
    client.end();
  });
}

async function waitUntilReady(addresses: readonly string[]): Promise<void> {
  const endsAt = performance.now() + READY_TIMEOUT_MS;
  const pending = new Set(addresses);
  while (pending.size > 0 && performance.now() < endsAt) {
    for (const address of pending) {
      const response = await fetch(`http://${address}/ready`).catch(() => undefined);
      if (response?.status === HTTP_OK) pending.delete(address);
    }
    await sleep(READY_POLL_MS);
  }
}
