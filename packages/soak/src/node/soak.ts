import { mkdirSync } from 'node:fs';
import { setTimeout as sleep } from 'node:timers/promises';
import { SeededRandom } from '@ragwortrudder/core';
import type { Random } from '@ragwortrudder/core';
import { freeAddresses, KeyedStore, Relay } from '@ragwortrudder/standins';
import type { PlannedFault } from '../types/planned-fault.ts';
import type { SoakOptions } from '../types/soak-options.ts';
import type { SoakResult } from '../types/soak-result.ts';
import { Ledger } from '../utils/ledger.ts';
import { planFaults } from '../utils/plan-faults.ts';
import { FaultInjector } from './fault-injector.ts';
import { Roster } from './roster.ts';
import { SoakCaller } from './soak-caller.ts';
import { SoakCloud } from './soak-cloud.ts';
import { SoakNode } from './soak-node.ts';
import { SoakRunner } from './soak-runner.ts';

const DOMAINS = ['a', 'b', 'c'] as const;
const RUNNERS = 4;
const TEAMS = [
  { name: 'team-1', apiKey: 'key-1' },
  { name: 'team-2', apiKey: 'key-2' },
];
/** Time from the start of the processes to the traffic, in milliseconds. */
const START_MS = 12_000;
const READY_POLL_MS = 100;
/** End of the traffic in which everything has to be served again, in milliseconds. */
const CALM_END_MS = 2_000;
/** Part of the requests of the calm end that has to be served with success. */
const RECOVERED_SHARE = 0.9;
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

interface StagedNode extends Pick<NodeAddresses, 'callers' | 'readiness'> {
  readonly node: SoakNode;
}

interface Stage {
  readonly ledger: Ledger;
  readonly nodes: readonly StagedNode[];
  readonly injector: FaultInjector;
  readonly close: () => Promise<void>;
}

/** One randomized run: starts everything, brings the faults about, and judges what was seen. */
export class Soak {
  readonly #options: SoakOptions;
  readonly #random: Random;

  constructor(options: SoakOptions) {
    this.#options = options;
    this.#random = new SeededRandom(options.seed);
  }

  async run(): Promise<SoakResult> {
    const { seed, lengthMs, nodes } = this.#options;
    const faults = planFaults({ lengthMs, nodes, runners: RUNNERS, random: this.#random });
    const stage = await this.#start();
    try {
      await untilReady(stage.nodes.map(({ readiness }) => readiness));
      const requests = await this.#play(stage, faults);
      const violations = stage.ledger.judge();
      return { seed, faults, requests, statuses: stage.ledger.statuses, violations };
    } finally {
      await stage.close();
    }
  }

  async #play(
    { ledger, nodes, injector }: Stage,
    faults: readonly PlannedFault[],
  ): Promise<number> {
    const { lengthMs, callers: count, seed } = this.#options;
    const called = nodes.map(({ node, callers: address }) => ({ id: node.id, address }));
    const callers = Array.from({ length: count }, (_item, index) => {
      const { name: team, apiKey } = TEAMS[index % TEAMS.length] ?? { name: '', apiKey: '' };
      const random = new SeededRandom(seed * count + index);
      return new SoakCaller({
        name: `s${seed}-c${index}`,
        nodes: called,
        team,
        apiKey,
        ledger,
        random,
      });
    });
    const startedAt = performance.now();
    for (const caller of callers) caller.start();
    const injected = faults.map(async (fault) => {
      await sleep(fault.atMs);
      await injector.inject(fault);
    });
    await sleep(lengthMs);
    await Promise.all(callers.map((caller) => caller.close()));
    await Promise.all(injected);
    const { sent, served } = ledger.servedSince(startedAt + lengthMs - CALM_END_MS);
    if (served < sent * RECOVERED_SHARE) {
      ledger.violated('recovery', `${served} of ${sent} requests were served after the last fault`);
    }
    return ledger.servedSince(0).sent;
  }

  async #start(): Promise<Stage> {
    const { folder, nodes: count } = this.#options;
    mkdirSync(folder, { recursive: true });
    const ledger = new Ledger();
    const store = await new KeyedStore().listen();
    const cloud = new SoakCloud({
      onViolation: (message) => {
        ledger.violated('one-holder', message);
      },
    });
    await cloud.listen();
    const runners = Array.from({ length: RUNNERS }, (_item, index) => {
      return new SoakRunner({
        id: `r${index}`,
        onRun: (run) => {
          ledger.ran(run);
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
    const roster = new Roster({
      store,
      teams: TEAMS,
      runners: runners.map((runner, index) => ({
        runner,
        failureDomain: DOMAINS[index % DOMAINS.length] ?? 'a',
        address: linkOf(`runner-${index}`),
      })),
    });
    roster.begin();
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
      return { node: new SoakNode({ id: `n${index}`, folder, settings }), callers, readiness };
    });
    for (const { node } of nodes) node.start();
    return {
      ledger,
      nodes,
      injector: new FaultInjector({
        nodes: nodes.map(({ node }) => node),
        store,
        cloud,
        relay,
        roster,
      }),
      close: async () => {
        await Promise.all(nodes.map(({ node }) => node.close()));
        for (const part of [relay, store, cloud, ...runners]) await part.close();
      },
    };
  }
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

async function untilReady(addresses: readonly string[]): Promise<void> {
  const endsAt = performance.now() + START_MS;
  const waiting = new Set(addresses);
  while (waiting.size > 0 && performance.now() < endsAt) {
    for (const address of waiting) {
      const response = await fetch(`http://${address}/ready`).catch(() => undefined);
      if (response?.status === HTTP_OK) waiting.delete(address);
    }
    await sleep(READY_POLL_MS);
  }
}
