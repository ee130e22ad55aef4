import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { freeAddresses } from '../../packages/standins/src/node/free-addresses.ts';
import { KeyedStore } from '../../packages/standins/src/node/keyed-store.ts';
import { statusOf } from '../../packages/soak/src/node/status-of.ts';

const BINARY = process.env.RAGWORTRUDDER ?? 'target/ragwortrudder';
const DOMAINS = ['a', 'b', 'c'] as const;
const READY_TIMEOUT_MS = 10_000;
const READY_POLL_MS = 100;
const PROBE_TIMEOUT_MS = 1_000;
const HTTP_OK = 200;
/** Delay after which the platform starts a process again that has ended. */
const RESTART_DELAY_MS = 300;

interface DeploymentOptions {
  readonly nodes: number;
  /** Address of the platform's API; nodes have no duties without it. */
  readonly cloud?: string;
  /** Address at which a node reaches the store, if not that of the store itself. */
  readonly storeAddressOf?: (index: number, store: string) => string;
}

interface NodeProcess {
  readonly id: string;
  readonly callers: string;
  readonly readiness: string;
}

interface RunningNode extends NodeProcess {
  readonly settingsPath: string;
  readonly process: ChildProcess;
}

/** Nodes of the built program as separate processes, before a stand-in of the platform's store. */
export class Deployment {
  readonly store: KeyedStore;
  readonly folder: string;
  readonly #nodes = new Map<number, RunningNode>();
  readonly #stopping = new Set<ChildProcess>();
  #isClosing = false;
  readonly #ownEnds: string[] = [];

  private constructor(store: KeyedStore) {
    this.store = store;
    this.folder = mkdtempSync(join(tmpdir(), 'review-'));
    // The nodes must not outlive a run that ends by a fault of its own.
    process.once('exit', () => {
      for (const { process: child } of this.nodes) child.kill('SIGKILL');
    });
    for (const signal of ['SIGINT', 'SIGTERM'] as const)
      process.once(signal, () => process.exit(2));
  }

  static async open(): Promise<Deployment> {
    return new Deployment(await new KeyedStore().listen());
  }

  get nodes(): readonly RunningNode[] {
    return [...this.#nodes.values()];
  }

  /** Processes that ended although nobody told them to. */
  get ownEnds(): readonly string[] {
    return this.#ownEnds;
  }

  /** Starts the nodes and waits until all of them are ready. */
  async start({ nodes, cloud, storeAddressOf }: DeploymentOptions): Promise<void> {
    const addresses = await freeAddresses(nodes * 4);
    for (let index = 0; index < nodes; index += 1) {
      const [callers = '', readiness = '', metrics = '', peers = ''] = addresses.slice(index * 4);
      const [host, peerPort] = peers.split(':');
      const store = storeAddressOf?.(index, this.store.address) ?? this.store.address;
      const id = `n${index}`;
      const settings = {
        node: { id, host, failureDomain: DOMAINS[index % DOMAINS.length] },
        listen: { callers, readiness, metrics, peerPort: Number(peerPort) },
        store: { address: store },
        ...(cloud === undefined
          ? {}
          : { cloud: { address: cloud, duties: ['usage_report', 'autoscale'] } }),
        graceS: 8,
        retries: { ratio: 0.2, slack: 58, windowS: 10 },
        quotas: { overage: 0.1, slack: 140_000 },
        duties: { leaseMs: 3_000, usageWindowS: 5, usageLateS: 10 },
      };
      const settingsPath = join(this.folder, `${id}.json`);
      writeFileSync(settingsPath, JSON.stringify(settings));
      this.#spawn(index, { id, callers, readiness, settingsPath });
    }
    await this.#untilReady();
  }

  /** Sends a signal to a node; one that ends is started again, as the platform does. */
  signal(index: number, signal: NodeJS.Signals): void {
    const node = this.#nodes.get(index);
    if (!node) return;
    if (signal === 'SIGTERM' || signal === 'SIGKILL') this.#stopping.add(node.process);
    node.process.kill(signal);
  }

  /** What a node has logged. */
  logOf(index: number): string {
    return readFileSync(join(this.folder, `n${index}.log`), 'utf8');
  }

  /** Ends all processes and the store. */
  async close(): Promise<void> {
    this.#isClosing = true;
    const exits = this.nodes.map(async ({ process: child }) => {
      if (child.exitCode !== null || child.signalCode !== null) return;
      const exited = new Promise((resolve) => child.once('exit', resolve));
      child.kill('SIGCONT');
      child.kill('SIGKILL');
      await exited;
    });
    await Promise.all(exits);
    await this.store.close();
    rmSync(this.folder, { recursive: true, force: true });
  }

  #spawn(index: number, node: Omit<RunningNode, 'process'>): void {
    const log = createWriteStream(join(this.folder, `${node.id}.log`), { flags: 'a' });
    const child = spawn(BINARY, ['serve-platform'], {
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        RAGWORTRUDDER_CONFIG: node.settingsPath,
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.#nodes.set(index, { ...node, process: child });
    child.stdout.pipe(log, { end: false });
    child.stderr.pipe(log, { end: false });
    child.once('exit', (code, signal) => {
      if (this.#isClosing) return;
      if (!this.#stopping.has(child)) {
        this.#ownEnds.push(`${node.id} code ${String(code)} ${String(signal)}`);
      }
      setTimeout(() => {
        if (!this.#isClosing) this.#spawn(index, node);
      }, RESTART_DELAY_MS);
    });
  }

  async #untilReady(): Promise<void> {
    const endsAt = performance.now() + READY_TIMEOUT_MS;
    for (const { id, readiness } of this.nodes) {
      const probe = {
        address: readiness,
        path: '/ready',
        headers: {},
        timeoutMs: PROBE_TIMEOUT_MS,
      };
      while ((await statusOf(probe)) !== HTTP_OK) {
        if (performance.now() > endsAt)
          throw new Error(
            `node ${id} is not ready: ${readFileSync(join(this.folder, `${id}.log`), 'utf8').slice(-600)}`,
          );
        await sleep(READY_POLL_MS);
      }
    }
  }
}
