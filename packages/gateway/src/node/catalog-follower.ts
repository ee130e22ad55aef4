import type {
  Configuration,
  RolloutOrder,
  RunnerDirectory,
  RunnerEntry,
} from '@ragwortrudder/catalog';
import type { Clock, Closeable, Random } from '@ragwortrudder/core';
import type { KeyedLog, KeyedRecord } from '@ragwortrudder/log';
import type { CatalogCodec } from '../types/catalog-codec.ts';
import type { TopicFeed } from '../types/topic-feed.ts';
import { encodeChange } from '../utils/encode-change.ts';
import { ListedRunners } from '../utils/listed-runners.ts';
import { reasonOf } from '../utils/reason-of.ts';
import type { DecisionLog } from './decision-log.ts';
import type { Evacuations } from './evacuations.ts';
import type { GatewayMetrics } from './gateway-metrics.ts';
import { KeyedFollower } from './keyed-follower.ts';

interface CatalogFollowerOptions {
  readonly log: KeyedLog;
  readonly codec: CatalogCodec;
  readonly clock: Clock;
  readonly random: Random;
  readonly directory: RunnerDirectory;
  readonly evacuations: Pick<Evacuations, 'apply' | 'replaceAll' | 'confirm'>;
  readonly decisions: DecisionLog;
  readonly metrics: GatewayMetrics;
  /** This node reads topics on behalf of its failure domain. */
  readonly isReader: () => boolean;
  /** Sends the result of a read to the other nodes of the failure domain. */
  readonly publishFeed: (feed: TopicFeed) => void;
  /** Receives each configuration that is newer than the active one. */
  readonly onConfiguration: (configuration: Configuration) => void;
  /** Receives the orders of roll-outs; those of a restored log may have been replaced since. */
  readonly onRollout: (order: RolloutOrder, isRestored: boolean) => void;
}

interface TopicHandlers {
  readonly onSnapshot: (records: readonly KeyedRecord[], isRestored: boolean) => void;
  readonly onRecords: (records: readonly KeyedRecord[]) => void;
  /**
   * Selects the records that a node needs which has followed the topic up to `from`; undefined when there
   * are too many for a feed.
   */
  readonly selectChanges: (
    records: readonly KeyedRecord[],
    from: number,
  ) => readonly KeyedRecord[] | undefined;
  readonly onUnavailable: () => void;
  readonly onAvailable: () => void;
  readonly onEnd?: () => void;
}

/** Where a configuration was read: at an offset of the log, or from a peer. */
interface ConfigurationSource {
  readonly offset?: number;
  readonly peer?: string;
}

/** Number of changes that fit into one datagram. */
const MAX_FEED_CHANGES = 40;
/** Size of the operator's records that fit into one datagram, in bytes before they are encoded. */
const MAX_FEED_BYTES = 32 * 1024;
/**
 * Long-poll time of configuration reads, in milliseconds; it bounds how long a dead connection goes
 * unnoticed.
 */
const CONFIGURATION_WAIT_MS = 1_000;
/** Pause between reads of the runner topic, in milliseconds; a change must take effect within two seconds. */
const RUNNER_PAUSE_MS = 700;
/**
 * Time without a read or a feed after which a newer configuration may be in force, in milliseconds: feeds
 * come once in a long poll, and one of them may be lost.
 */
const CONFIRMED_MS = 3 * CONFIGURATION_WAIT_MS;

/** Follows the configuration and the list of runners, through own reads of the log and feeds from peers. */
export class CatalogFollower implements Closeable {
  readonly #options: CatalogFollowerOptions;
  readonly #followers: readonly KeyedFollower[];
  readonly #listed: ListedRunners;
  /** Entries by their records, each of which is looked at several times. */
  readonly #decoded = new WeakMap<KeyedRecord, RunnerEntry | undefined>();
  #version = 0;
  #record: Uint8Array | undefined;
  #hasRunners = false;
  #confirmedAt = -Infinity;

  constructor(options: CatalogFollowerOptions) {
    this.#options = options;
    const { codec, directory, evacuations } = options;
    this.#listed = new ListedRunners({ decode: (record) => this.#runnerIn(record) });
    this.#followers = [
      this.#createFollower(codec.configurationTopic, CONFIGURATION_WAIT_MS, 0, {
        onSnapshot: (records, isRestored) => {
          // First, so that no request is sent to an evacuated domain with the first configuration.
          evacuations.replaceAll(records, isRestored);
          this.#applyOperatorRecords(records, isRestored);
        },
        onRecords: (records) => {
          evacuations.apply(records);
          this.#applyOperatorRecords(records, false);
        },
        selectChanges: (records) => (bytesOf(records) <= MAX_FEED_BYTES ? records : undefined),
        onUnavailable: () => undefined,
        onAvailable: () => {
          this.#confirmedAt = options.clock.monotonic();
        },
        onEnd: () => {
          evacuations.confirm();
        },
      }),
      this.#createFollower(codec.runnerTopic, 0, RUNNER_PAUSE_MS, {
        onSnapshot: (records, isRestored) => {
          this.#replaceRunners(records, isRestored);
        },
        onRecords: (records) => {
          this.#applyRunnerRecords(records);
        },
        selectChanges: (records, from) => this.#runnerChanges(records, from),
        onUnavailable: () => {
          directory.markUnavailable();
        },
        onAvailable: () => {
          directory.markAvailable();
        },
      }),
    ];
  }

  /** Version of the active configuration; 0 without one. */
  get version(): number {
    return this.#version;
  }

  /** The log, or a node that reads it, has recently shown that no configuration is newer. */
  get isConfirmed(): boolean {
    return this.#options.clock.monotonic() - this.#confirmedAt < CONFIRMED_MS;
  }

  /** Record of the active configuration. */
  get record(): Uint8Array | undefined {
    return this.#record;
  }

  /** Applies the record of a configuration that a peer has read. */
  applyPeerConfiguration(value: Uint8Array, peer: string): void {
    this.#applyConfiguration(value, { peer });
  }

  /** At least one runner has been read. */
  get hasRunners(): boolean {
    return this.#hasRunners;
  }

  start(): void {
    for (const follower of this.#followers) follower.start();
  }

  /** Applies the result of a read by a peer of the failure domain. */
  applyFeed({ topic, from, next, era, changes, isWhole }: TopicFeed): void {
    const follower = this.#followers.find((item) => item.topic === topic);
    const records = changes.map(([key, value, offset]): KeyedRecord => {
      return { key, value: value === null ? undefined : Buffer.from(value, 'base64'), offset };
    });
    follower?.applyFeed({ from, next, era }, records, isWhole);
  }

  async close(): Promise<void> {
    await Promise.all(this.#followers.map((follower) => follower.close()));
  }

  #createFollower(
    topic: string,
    waitMs: number,
    pauseMs: number,
    handlers: TopicHandlers,
  ): KeyedFollower {
    const { log, clock, random, decisions, metrics, isReader, publishFeed } = this.#options;
    return new KeyedFollower({
      log,
      topic,
      clock,
      random,
      waitMs,
      pauseMs,
      isReader,
      onSnapshot: (records, restore) => {
        if (restore) {
          metrics.count('log_restores', { topic });
          decisions.notable('log-restored', { topic, ...restore });
        }
        handlers.onSnapshot(records, restore !== undefined);
      },
      onRecords: handlers.onRecords,
      onAvailable: handlers.onAvailable,
      onEnd: () => handlers.onEnd?.(),
      onRange: (range, records) => {
        if (!isReader()) return;
        const changes = handlers.selectChanges(records, range.from);
        publishFeed({
          topic,
          ...range,
          changes: (changes ?? []).map(encodeChange),
          isWhole: changes !== undefined,
        });
      },
      onUnavailable: (error) => {
        handlers.onUnavailable();
        metrics.count('log_failures', { topic });
        decisions.notable('log-lost', {
          topic,
          reason: error instanceof Error ? error.message : String(error),
        });
      },
      onRecovered: (outageMs) => {
        decisions.notable('log-back', { topic, awayMs: Math.round(outageMs) });
      },
    });
  }

  #applyOperatorRecords(records: readonly KeyedRecord[], isRestored: boolean): void {
    const { codec, onRollout } = this.#options;
    for (const { key, value, offset } of records) {
      if (!value) continue;
      this.#attempt(codec.configurationTopic, key, () => {
        if (key === codec.configurationKey) this.#applyConfiguration(value, { offset });
        const order = codec.decodeRollout(key, value);
        if (order) onRollout(order, isRestored);
        else if (key !== codec.configurationKey) this.#reject(codec.configurationTopic, key, value);
      });
    }
  }

  #applyConfiguration(value: Uint8Array, source: ConfigurationSource): void {
    const { codec, decisions, onConfiguration } = this.#options;
    const configuration = codec.decodeConfiguration(value);
    if (!configuration) {
      const cause = codec.problemOf(codec.configurationTopic, codec.configurationKey, value);
      decisions.notable('configuration-unreadable', { ...source, cause });
      return;
    }
    if (configuration.version <= this.#version) return;
    for (const path of codec.ignoredIn(value)) {
      decisions.notable('configuration-value-ignored', { version: configuration.version, path });
    }
    const before = this.#version;
    this.#version = configuration.version;
    this.#record = value;
    onConfiguration(configuration);
    decisions.notable('configuration-applied', {
      version: configuration.version,
      before,
      routes: configuration.routes.length,
      teams: configuration.teams.length,
      ...source,
    });
  }

  #replaceRunners(records: readonly KeyedRecord[], isRestored: boolean): void {
    const { directory, decisions } = this.#options;
    this.#listed.replaceAll(records);
    const entries = records.flatMap((record) => this.#decodeRunner(record) ?? []);
    for (const record of records) {
      if (record.value && !this.#runnerIn(record)) directory.reject(record.key);
    }
    if (isRestored) directory.restoreAll(entries);
    else directory.replaceAll(entries);
    this.#hasRunners ||= entries.length > 0;
    decisions.notable('runners-read', { runners: entries.length, isRestored });
  }

  /** The changes in a range that begins at `from`; undefined when there are too many. */
  #runnerChanges(
    records: readonly KeyedRecord[],
    from: number,
  ): readonly KeyedRecord[] | undefined {
    const changes = this.#listed.changesIn(records, from);
    return changes.length <= MAX_FEED_CHANGES ? changes : undefined;
  }

  #applyRunnerRecords(records: readonly KeyedRecord[]): void {
    const { codec } = this.#options;
    this.#listed.apply(records);
    for (const record of records) {
      this.#attempt(codec.runnerTopic, record.key, () => {
        const entry = this.#decodeRunner(record);
        if (entry) this.#putRunner(entry);
        else this.#removeRunner(record.key, record.value !== undefined);
      });
    }
  }

  #runnerIn(record: KeyedRecord): RunnerEntry | undefined {
    if (this.#decoded.has(record)) return this.#decoded.get(record);
    const { key, value } = record;
    const entry = value && this.#options.codec.decodeRunner(key, value);
    this.#decoded.set(record, entry);
    return entry;
  }

  /** The runner that a record names; logs a record that names none. */
  #decodeRunner(record: KeyedRecord): RunnerEntry | undefined {
    const { codec, decisions } = this.#options;
    const { key, value } = record;
    const entry = this.#runnerIn(record);
    if (entry || !value) decisions.accepted(codec.runnerTopic, key);
    else this.#reject(codec.runnerTopic, key, value);
    return entry;
  }

  /** Logs a record that is not used; there are others beside it that nodes have no use for. */
  #reject(topic: string, key: string, value: Uint8Array): void {
    const { codec, decisions } = this.#options;
    const cause = codec.problemOf(topic, key, value);
    if (cause !== undefined) decisions.rejected({ topic, key, cause });
  }

  /** Applies one record; one that cannot be applied must not keep the node from those after it. */
  #attempt(topic: string, key: string, apply: () => void): void {
    try {
      apply();
    } catch (error) {
      this.#options.decisions.rejected({ topic, key, cause: reasonOf(error) });
    }
  }

  #putRunner(entry: RunnerEntry): void {
    const { codec, directory, decisions } = this.#options;
    const known = directory.find(entry.id);
    if (!directory.put(entry)) {
      const cause = `boot: the entry of ${entry.bornMs} may be older than what is known of the runner`;
      decisions.rejected({ topic: codec.runnerTopic, key: entry.id, cause });
      return;
    }
    this.#hasRunners = true;
    if (known?.isDraining === entry.isDraining && known.bornMs === entry.bornMs) return;
    decisions.notable('runner-entered', {
      runner: entry.id,
      service: entry.service,
      version: entry.version,
      isDraining: entry.isDraining,
      isSpot: entry.isSpot,
    });
  }

  #removeRunner(id: string, isUnreadable: boolean): void {
    const { directory, decisions } = this.#options;
    if (!directory.find(id)) return;
    if (isUnreadable) directory.reject(id);
    const isRetained = !isUnreadable && directory.remove(id);
    decisions.notable('runner-removed', { runner: id, isUnreadable, isRetained });
  }
}

function bytesOf(records: readonly KeyedRecord[]): number {
  return records.reduce(
    (sum, { key, value }) => sum + Buffer.byteLength(key) + (value?.length ?? 0),
    0,
  );
}
