import { setTimeout as sleep } from 'node:timers/promises';
import type { Random } from '@ragwortrudder/core';
import type { KeyedStore } from '@ragwortrudder/standins';
import type { ConfigurationChange } from '../types/configuration-change.ts';
import { CONFIGURATION_CHANGES } from '../utils/configuration-changes.ts';
import { ODD_ENTRIES } from '../utils/odd-entries.ts';
import { SoakConfiguration } from '../utils/soak-configuration.ts';
import type { SoakRunner } from './soak-runner.ts';

/** A runner and the values that its entry in the store has. */
interface RegisteredRunner {
  readonly runner: SoakRunner;
  readonly service: string;
  readonly failureDomain: string;
  /** Address at which nodes reach the runner: a link of the relay. */
  readonly address: string;
}

interface StoreWriterOptions {
  readonly store: KeyedStore;
  readonly runners: readonly RegisteredRunner[];
  readonly teams: readonly { readonly name: string; readonly apiKey: string }[];
  readonly random: Random;
}

/**
 * Time after the last heartbeat at which the store removes the entry of a runner, in milliseconds:
 * three heartbeat intervals.
 */
const ENTRY_EXPIRY_MS = 3_600;
const OPERATOR_TOPIC = 'keyed.op';
const RUNNER_TOPIC = 'keyed.servers';
const EVACUATION_PREFIX = 'evacuate/';
/** Maximum time after which a writer repeats its record in a restored store, in milliseconds: a heartbeat. */
const REPEAT_MS = 1_200;
/** Changes of a series, which all begin within 50 ms, and the pause between two in milliseconds. */
const SERIES_CHANGES = 4;
const SERIES_GAP_MS = 15;

/** Writes the records of operators and runners to the store. */
export class StoreWriter {
  readonly #options: StoreWriterOptions;
  readonly #startedAt = new Map<string, number>();
  /** Runners that have crashed and are not back yet. */
  readonly #crashed = new Set<number>();
  readonly #newest = new Map<string, string | undefined>();
  readonly #configuration: SoakConfiguration;
  #oddEntries = 0;

  constructor(options: StoreWriterOptions) {
    this.#options = options;
    const services = new Set(options.runners.map(({ service }) => service));
    this.#configuration = new SoakConfiguration(options.teams, [...services]);
  }

  /** Path of the route that only the newest configuration has. */
  get newestPath(): string {
    return `/v${this.#configuration.version}/`;
  }

  /** Writes the newest record of each key again, as after a loss of records. */
  async repeatNewest(): Promise<void> {
    const { store, random } = this.#options;
    const repeats = [...this.#newest.keys()].map(async (name) => {
      await sleep(random.next() * REPEAT_MS);
      const [topic = '', key = ''] = name.split(' ');
      store.put(topic, key, this.#newest.get(name));
    });
    await Promise.all(repeats);
  }

  /** Positions of all runners. */
  get targets(): Iterable<number> {
    return this.#options.runners.keys();
  }

  runnerAt(target: number): SoakRunner | undefined {
    return this.#options.runners[target]?.runner;
  }

  /** Registers all runners and writes the first configuration. */
  registerAll(): void {
    for (const registered of this.#options.runners) this.#register(registered, 'ready');
    this.configure();
  }

  /** Writes a new version of the configuration, which adds one route named after the version. */
  configure(): void {
    this.#put(OPERATOR_TOPIC, 'config', JSON.stringify(this.#configuration.next()));
  }

  /** Changes the configuration for a time. */
  async change(change: ConfigurationChange, target: number, forMs: number): Promise<void> {
    this.#configuration.begin(change, target);
    this.configure();
    await sleep(forMs);
    this.#configuration.end(change);
    this.configure();
  }

  /** Begins several changes of the configuration right after one another, and ends them likewise. */
  async changeInSeries(first: number, forMs: number): Promise<void> {
    const changes = Array.from({ length: SERIES_CHANGES }, async (_item, index) => {
      const change = CONFIGURATION_CHANGES[(first + index) % CONFIGURATION_CHANGES.length];
      await sleep(index * SERIES_GAP_MS);
      if (change) await this.change(change, first, forMs);
    });
    await Promise.all(changes);
  }

  /** Orders the evacuation of a runner's failure domain; returns the ids of all runners there. */
  beginEvacuation(target: number): readonly string[] {
    const { runners } = this.#options;
    const failureDomain = runners[target]?.failureDomain;
    if (failureDomain === undefined) return [];
    this.#put(OPERATOR_TOPIC, `${EVACUATION_PREFIX}${failureDomain}`, '{}');
    return runners
      .filter((registered) => registered.failureDomain === failureDomain)
      .map(({ runner }) => runner.id);
  }

  endEvacuation(target: number): void {
    const failureDomain = this.#options.runners[target]?.failureDomain;
    if (failureDomain === undefined) return;
    this.#put(OPERATOR_TOPIC, `${EVACUATION_PREFIX}${failureDomain}`, undefined);
  }

  /** Leaves an odd entry among those of the runners for a time. */
  async leaveOddEntry(target: number, forMs: number): Promise<void> {
    this.#oddEntries += 1;
    const key = `odd${this.#oddEntries}`;
    this.#put(RUNNER_TOPIC, key, ODD_ENTRIES[target]);
    await sleep(forMs);
    this.#put(RUNNER_TOPIC, key, undefined);
  }

  /**
   * Crashes a runner without notice. Its entry expires, and it restarts under the same id as a new
   * incarnation.
   */
  async crash(target: number, forMs: number): Promise<void> {
    const registered = this.#options.runners[target];
    if (!registered || this.#crashed.has(target)) return;
    this.#crashed.add(target);
    await registered.runner.close();
    const expiry = setTimeout(() => {
      this.#remove(registered);
    }, ENTRY_EXPIRY_MS);
    await sleep(forMs);
    clearTimeout(expiry);
    await registered.runner.listen();
    this.#crashed.delete(target);
    this.#startedAt.set(registered.runner.id, Date.now());
    this.#register(registered, 'ready');
  }

  /**
   * Drains a runner: it announces that it is draining, continues to serve, is removed, and registers
   * again as a new incarnation.
   */
  async drain(target: number, forMs: number): Promise<void> {
    const registered = this.#options.runners[target];
    if (!registered) return;
    this.#register(registered, 'draining');
    await sleep(forMs);
    this.#remove(registered);
    await sleep(forMs);
    this.#startedAt.set(registered.runner.id, Date.now());
    this.#register(registered, 'ready');
  }

  #put(topic: string, key: string, value: string | undefined): void {
    this.#newest.set(`${topic} ${key}`, value);
    this.#options.store.put(topic, key, value);
  }

  #register(
    { runner, service, failureDomain, address }: RegisteredRunner,
    state: 'ready' | 'draining',
  ): void {
    const born = this.#startedAt.get(runner.id) ?? 1;
    const entry = {
      service,
      address,
      zone: failureDomain,
      version: 'v1',
      slots: 32,
      state,
      born,
    };
    this.#put(RUNNER_TOPIC, runner.id, JSON.stringify(entry));
  }

  #remove({ runner }: RegisteredRunner): void {
    this.#put(RUNNER_TOPIC, runner.id, undefined);
  }
}
