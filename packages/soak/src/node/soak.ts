import { mkdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { SeededRandom } from '@ragwortrudder/core';
import type { Closeable, Random } from '@ragwortrudder/core';
import { freeAddresses, KeyedStore, Relay } from '@ragwortrudder/standins';
import { InterruptedRun } from '../errors/interrupted-run.ts';
import { StalledRun } from '../errors/stalled-run.ts';
import type { CrashCause } from '../types/crash-cause.ts';
import type { PlannedFault } from '../types/planned-fault.ts';
import type { SoakOptions } from '../types/soak-options.ts';
import type { SoakResult } from '../types/soak-result.ts';
import { RequestTracker } from '../utils/request-tracker.ts';
import { planFaults } from '../utils/plan-faults.ts';
import { EndlessFaults } from './endless-faults.ts';
import { FaultInjector } from './fault-injector.ts';
import { MemorySampler } from './memory-sampler.ts';
import { RunGuard } from './run-guard.ts';
import { statusOf } from './status-of.ts';
import { StoreWriter } from './store-writer.ts';
import { SoakCaller } from './soak-caller.ts';
import { SoakCloud } from './soak-cloud.ts';
import { SoakNode } from './soak-node.ts';
import { SoakRunner } from './soak-runner.ts';

const DOMAINS = ['a', 'b', 'c'] as const;
/** Services of the runners. Routes move from the first one to the second. */
const SERVICES = ['work', 'work', 'work', 'work', 'more', 'more', 'more'] as const;
const BUSY_RUNNERS = SERVICES.filter((service) => service === SERVICES[0]).length;
const TEAMS = [
  { name: 'team-1', apiKey: 'key-1' },
  { name: 'team-2', apiKey: 'key-2' },
] as const;
/** Maximum time that the traffic waits for the processes to become ready, in milliseconds. */
const READY_TIMEOUT_MS = 60_000;
const READY_POLL_MS = 100;
const READY_PROBE_TIMEOUT_MS = 2_000;
const PROBE_TIMEOUT_MS = 6_000;
/** Maximum time in which callers and faults end after the traffic, in milliseconds. */
const END_TIMEOUT_MS = 20_000;
/** More of that time for each node, as an upgrade takes them one after another, in milliseconds. */
const END_TIMEOUT_PER_NODE_MS = 4_000;
/** Maximum time in which all parts of a run close, in milliseconds. */
const CLOSE_TIMEOUT_MS = 20_000;
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
}

/** What a run opens, and what ends it early. */
interface RunScope {
  readonly tracker: RequestTracker;
  readonly guard: RunGuard;
  /** Closed in reverse order, however the run ends. */
  readonly parts: readonly Closeable[];
  readonly add: (part: Closeable) => unknown;
  readonly sampler: MemorySampler;
}

/**
 * One randomized run: starts all processes, injects the faults and checks the recorded requests. It
 * has a result however it ends; "unfinished-run" says that not all of it has run.
 */
export class Soak {
  readonly #options: SoakOptions;
  readonly #random: Random;

  constructor(options: SoakOptions) {
    this.#options = options;
    this.#random = new SeededRandom(options.seed);
  }

  async run(): Promise<SoakResult> {
    const { seed, lengthMs, nodes, production, endless, evacuates } = this.#options;
    const planned = planFaults({
      ...{ lengthMs, nodes, runners: SERVICES.length, busyRunners: BUSY_RUNNERS },
      ...{ endless, evacuates },
      random: this.#random,
    });
    const upgrade = {
      kind: 'upgrade',
      atMs: lengthMs / UPGRADE_PART,
      forMs: 0,
      target: 0,
    } as const;
    const faults = production === undefined ? planned : [...planned, upgrade];
    const scope = this.#open();
    const { tracker, guard } = scope;
    const resultSoFar = (requests: number): SoakResult => {
      return {
        ...{ seed, faults, requests, statuses: tracker.statuses, violations: tracker.violations },
        memoryGrowthMb: scope.sampler.peaks.growthMb,
        maxLagMs: scope.sampler.maxLagMs,
      };
    };
    let requests = 0;
    let interruptedBy: NodeJS.Signals | undefined;
    const fail = (error: unknown): void => {
      if (error instanceof InterruptedRun) interruptedBy = error.signal;
      tracker.recordViolation('unfinished-run', describe(error));
      guard.end(error);
    };
    try {
      const environment = await guard.watch(this.#start(scope));
      await guard.watch(this.#untilReady(environment));
      scope.sampler.start(environment.nodes.map(({ node }) => node));
      await guard.watch(this.#runTraffic(environment, faults, scope));
      requests = tracker.requests;
      await guard.watch(this.#probe(environment));
    } catch (error) {
      fail(error);
      requests = tracker.requests;
    }
    try {
      tracker.check();
      for (const { promise, message } of scope.sampler.peaks.check()) {
        tracker.recordViolation(promise, message);
      }
    } catch (error) {
      fail(error);
    }
    try {
      await withinTime(closeAll(scope.parts), CLOSE_TIMEOUT_MS, 'not all parts have closed');
    } catch (error) {
      fail(error);
    }
    await guard.close();
    return { ...resultSoFar(requests), ...(interruptedBy === undefined ? {} : { interruptedBy }) };
  }

  #open(): RunScope {
    const { folder, nodes } = this.#options;
    mkdirSync(folder, { recursive: true });
    const tracker = new RequestTracker(nodes, ({ id, node }) =>
      readLog(folder, node).includes(`"request":"${id}"`),
    );
    const sampler = new MemorySampler();
    const parts: Closeable[] = [sampler];
    const add = (part: Closeable): unknown => parts.push(part);
    return { tracker, guard: new RunGuard(), parts, add, sampler };
  }

  async #untilReady({ nodes }: SoakEnvironment): Promise<void> {
    const { readyTimeoutMs = READY_TIMEOUT_MS } = this.#options;
    const endsAt = performance.now() + readyTimeoutMs;
    const pending = new Map(nodes.map(({ node, readiness }) => [node.id, readiness]));
    while (pending.size > 0) {
      if (performance.now() > endsAt) {
        const ids = [...pending.keys()].join(', ');
        throw new StalledRun(`not ready after ${readyTimeoutMs} ms: ${ids}`);
      }
      for (const [id, address] of pending) {
        const probe = { address, path: '/ready', headers: {}, timeoutMs: READY_PROBE_TIMEOUT_MS };
        if ((await statusOf(probe)) === HTTP_OK) pending.delete(id);
      }
      await sleep(READY_POLL_MS);
    }
  }

  async #runTraffic(
    { tracker, nodes, injector }: SoakEnvironment,
    faults: readonly PlannedFault[],
    { guard, add }: RunScope,
  ): Promise<void> {
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
    const injections = Promise.all(
      faults.map(async (fault) => {
        await sleep(fault.atMs, undefined, { signal: guard.signal });
        await injector.inject(fault);
      }),
    );
    const closeCallers = async (): Promise<void> => {
      await Promise.all(callers.map((caller) => caller.close()));
    };
    add({ close: closeCallers });
    await Promise.race([sleep(lengthMs), neverUnlessRejected(injections)]);
    const ends = Promise.all([closeCallers(), injections]);
    const timeoutMs = END_TIMEOUT_MS + nodes.length * END_TIMEOUT_PER_NODE_MS;
    await withinTime(ends, timeoutMs, 'callers or faults have not ended');
    const { total, served } = tracker.servedSince(startedAt + lengthMs - RECOVERED_PERIOD_MS);
    if (served < total * RECOVERED_SHARE) {
      tracker.recordViolation(
        'recovery',
        `${served} of ${total} requests were served after the last fault`,
      );
    }
  }

  /** Checks that each node serves the route that only the newest configuration has. */
  async #probe({ tracker, nodes, newestPath }: SoakEnvironment): Promise<void> {
    const { name: team, apiKey } = TEAMS[0];
    for (const { node, callers: address } of nodes) {
      const id = `probe-${node.id}`;
      const at = performance.now();
      tracker.recordRequest({ id, kind: 'read', node: node.id, team, body: '', events: 0, at });
      const headers = { Host: 'soak.example', 'Request-Id': id, 'X-Api-Key': apiKey };
      const probe = { address, path: newestPath(), headers, timeoutMs: PROBE_TIMEOUT_MS };
      const status = await statusOf(probe);
      if (status === HTTP_OK) continue;
      tracker.recordViolation(
        'configuration',
        `${node.id} answered ${status ?? 'nothing'} on ${newestPath()}`,
      );
    }
  }

  async #start({ tracker, guard, add }: RunScope): Promise<SoakEnvironment> {
    const { folder, nodes: count } = this.#options;
    const open = <Part extends Closeable>(part: Part): Part => {
      add(part);
      return part;
    };
    const store = open(await new KeyedStore().listen());
    const cloud = open(
      new SoakCloud({
        onViolation: (message) => {
          tracker.recordViolation('one-holder', message);
        },
      }),
    );
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
    for (const runner of runners) await open(runner).listen();
    const storeAddresses = await Promise.all(
      Array.from({ length: count }, () => store.addAddress()),
    );
    const relay = new Relay([
      ...storeAddresses.map((target, index) => ({ name: `store-${index}`, target })),
      ...runners.map(({ address }, index) => ({ name: `runner-${index}`, target: address })),
    ]);
    await open(relay).listen();
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
    await open(nodeLinks).listen();
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
        onNotStarted: guard.end,
      });
      return { node, callers, readiness };
    });
    for (const { node } of nodes) open(node).start();
    const startCaller = (
      name: string,
      changes: CrashCause & { readonly isSlow?: boolean; readonly isUploading?: boolean },
    ): SoakCaller => {
      const caller = new SoakCaller({
        name: `s${this.#options.seed}-${name}`,
        nodes: nodes.map(({ node, callers: address }) => ({ id: node.id, address })),
        team: TEAMS[0].name,
        apiKey: TEAMS[0].apiKey,
        tracker,
        random: new SeededRandom(this.#options.seed),
        ...changes,
      });
      caller.start();
      return caller;
    };
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
        endless: new EndlessFaults({
          ...{ store, storeWriter, storeAddresses, apiKey: TEAMS[0].apiKey },
          nodeAddresses: nodes.map(({ callers }) => callers),
          startSlowCaller: (name) => startCaller(name, { isSlow: true }),
        }),
        startUploadingCaller: (name) => startCaller(name, { isUploading: true }),
        startCrashingCaller: (cause) => {
          return startCaller(cause.crashingPart ?? cause.crashingPath ?? '', cause);
        },
      }),
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
    quotas: { overage: 0.1, slack: 100, windowS: 8 },
    duties: { leaseMs: 3_000, usageWindowS: 5, usageLateS: 10 },
  };
}

function describe(error: unknown): string {
  return error instanceof Error ? (error.stack ?? error.message) : String(error);
}

/** Rejects like `work`, and never resolves. */
async function neverUnlessRejected(work: Promise<unknown>): Promise<never> {
  await work;
  return new Promise(() => undefined);
}

async function withinTime(work: Promise<unknown>, timeoutMs: number, what: string): Promise<void> {
  const controller = new AbortController();
  const expiry = sleep(timeoutMs, undefined, { signal: controller.signal }).then(() => {
    throw new StalledRun(`${what} after ${timeoutMs} ms`);
  });
  try {
    await Promise.race([work, expiry]);
  } finally {
    expiry.catch(() => undefined);
    controller.abort();
  }
}

/** Closes all parts, the last one first; those of a kind at the same time would be no faster. */
async function closeAll(parts: readonly Closeable[]): Promise<void> {
  for (const part of parts.toReversed()) await part.close();
}
