import { setTimeout as sleep } from 'node:timers/promises';
import type { KeyedStore } from '@ragwortrudder/standins';
import type { SoakRunner } from './soak-runner.ts';

/** Runner with what its entry in the store says of it. */
interface RosterRunner {
  readonly runner: SoakRunner;
  readonly failureDomain: string;
  /** Address under which nodes reach it: a link of the relay. */
  readonly address: string;
}

interface RosterOptions {
  readonly store: KeyedStore;
  readonly runners: readonly RosterRunner[];
  readonly teams: readonly { readonly name: string; readonly apiKey: string }[];
}

const SERVICE = 'work';
const TIMEOUT_MS = 3_500;
const TARGET_MS = 300;
/** Silence after which the store drops the entry of a runner, in milliseconds: three heartbeats. */
const LAPSE_MS = 3_600;
const VERSION_STEP = 3;

const ROUTES = [
  { name: 'order', kind: 'non_idempotent', max_attempts: 1 },
  { name: 'read', kind: 'idempotent', max_attempts: 2 },
  { name: 'draft', kind: 'streaming', max_attempts: 1, stream_resume: false },
  { name: 'ask', kind: 'streaming', max_attempts: 2, stream_resume: true },
];

/** What operators and runners write to the store. */
export class Roster {
  readonly #options: RosterOptions;
  readonly #born = new Map<string, number>();
  #version = 1;

  constructor(options: RosterOptions) {
    this.#options = options;
  }

  runnerAt(target: number): SoakRunner | undefined {
    return this.#options.runners[target]?.runner;
  }

  /** Enters all runners and the first configuration. */
  begin(): void {
    for (const item of this.#options.runners) this.#enter(item, 'ready');
    this.configure();
  }

  /** Writes a new version of the configuration; each has a route of its own beside the others. */
  configure(): void {
    this.#version += VERSION_STEP;
    const routes = [...ROUTES, { name: `v${this.#version}`, kind: 'idempotent', max_attempts: 2 }];
    const record = {
      version: this.#version,
      routes: routes.map((route) => ({
        host: 'soak.example',
        path_prefix: `/${route.name}/`,
        timeout_ms: TIMEOUT_MS,
        target_latency_ms: TARGET_MS,
        gap_target_ms: TARGET_MS,
        priority: 1,
        service: SERVICE,
        ...route,
      })),
      services: [{ name: SERVICE, health_path: '/health', max_connections: 500 }],
      tenants: this.#options.teams.map(({ name, apiKey }) => ({ name, api_keys: [apiKey] })),
      limits: {
        max_header_bytes: 8_192,
        max_body_bytes: 100_000,
        header_timeout_ms: 2_000,
        idle_timeout_ms: 5_000,
      },
    };
    this.#options.store.put('keyed.op', 'config', JSON.stringify(record));
  }

  /** A runner dies without a word; its entry lapses, and it comes back as a new life under its id. */
  async crash(target: number, forMs: number): Promise<void> {
    const item = this.#options.runners[target];
    if (!item) return;
    await item.runner.close();
    const lapse = setTimeout(() => {
      this.#remove(item);
    }, LAPSE_MS);
    await sleep(forMs);
    clearTimeout(lapse);
    await item.runner.listen();
    this.#born.set(item.runner.id, Date.now());
    this.#enter(item, 'ready');
  }

  /** A runner says that it leaves, serves on for a while, is gone, and comes back. */
  async drain(target: number, forMs: number): Promise<void> {
    const item = this.#options.runners[target];
    if (!item) return;
    this.#enter(item, 'draining');
    await sleep(forMs);
    this.#remove(item);
    await sleep(forMs);
    this.#enter(item, 'ready');
  }

  #enter({ runner, failureDomain, address }: RosterRunner, state: 'ready' | 'draining'): void {
    const born = this.#born.get(runner.id) ?? 1;
    const entry = {
      service: SERVICE,
      address,
      zone: failureDomain,
      version: 'v1',
      slots: 32,
      state,
      born,
    };
    this.#options.store.put('keyed.servers', runner.id, JSON.stringify(entry));
  }

  #remove({ runner }: RosterRunner): void {
    this.#options.store.put('keyed.servers', runner.id, undefined);
  }
}
