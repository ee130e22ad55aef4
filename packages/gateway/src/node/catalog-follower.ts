import { isDeepStrictEqual } from 'node:util';
import type { Configuration, RunnerDirectory, RunnerEntry } from '@ragwortrudder/catalog';
import type { Clock, Closeable, Random } from '@ragwortrudder/core';
import type { KeyedLog, KeyedRecord } from '@ragwortrudder/log';
import type { CatalogCodec } from '../types/catalog-codec.ts';
import type { TopicFeed } from '../types/topic-feed.ts';
import type { DecisionLog } from './decision-log.ts';
import type { GatewayMetrics } from './gateway-metrics.ts';
import { KeyedFollower } from './keyed-follower.ts';

interface CatalogFollowerOptions {
  readonly log: KeyedLog;
  readonly codec: CatalogCodec;
  readonly clock: Clock;
  readonly random: Random;
  readonly directory: RunnerDirectory;
  readonly decisions: DecisionLog;
  readonly metrics: GatewayMetrics;
  /** This node reads topics for the others of its failure domain. */
  readonly isReader: () => boolean;
  /** Tells the others of the failure domain what was read. */
  readonly feed: (feed: TopicFeed) => void;
  /** Receives a configuration that is newer than the one before. */
  readonly onConfiguration: (configuration: Configuration) => void;
}

interface TopicHandlers {
  readonly onWhole: (records: readonly KeyedRecord[]) => void;
  readonly onRecords: (records: readonly KeyedRecord[]) => void;
  /** Records of a range that others need; undefined when they are too many to be told. */
  readonly changes: (records: readonly KeyedRecord[]) => readonly KeyedRecord[] | undefined;
  readonly onAway: () => void;
  readonly onRead: () => void;
}

/** Changes that fit into one datagram. */
const MAX_FED_CHANGES = 40;
/** Wait of a read of the configuration, in milliseconds: a connection that fell silent is noticed within it. */
const CONFIGURATION_WAIT_MS = 1_000;
/** Pause between reads of the runners, in milliseconds; a change must be in force within two seconds. */
const RUNNER_PAUSE_MS = 700;

/** Follows the configuration and the list of runners, by reads of the log and by what peers read. */
export class CatalogFollower implements Closeable {
  readonly #options: CatalogFollowerOptions;
  readonly #followers: readonly KeyedFollower[];
  #version = 0;
  #hasRunners = false;

  constructor(options: CatalogFollowerOptions) {
    this.#options = options;
    const { codec, directory } = options;
    this.#followers = [
      this.#follow(codec.configurationTopic, CONFIGURATION_WAIT_MS, 0, {
        onWhole: (records) => {
          this.#takeConfiguration(records);
        },
        onRecords: (records) => {
          this.#takeConfiguration(records);
        },
        changes: (records) => (records.length === 0 ? [] : undefined),
        onAway: () => undefined,
        onRead: () => undefined,
      }),
      this.#follow(codec.runnerTopic, 0, RUNNER_PAUSE_MS, {
        onWhole: (records) => {
          this.#takeAllRunners(records);
        },
        onRecords: (records) => {
          this.#takeRunners(records);
        },
        changes: (records) => this.#runnerChanges(records),
        onAway: () => {
          directory.markAway();
        },
        onRead: () => {
          directory.markRead();
        },
      }),
    ];
  }

  /** At least one runner has been listed. */
  get hasRunners(): boolean {
    return this.#hasRunners;
  }

  start(): void {
    for (const follower of this.#followers) follower.start();
  }

  /** Takes in what a peer of the failure domain read. */
  take({ topic, from, next, changes, isWhole }: TopicFeed): void {
    const follower = this.#followers.find((item) => item.topic === topic);
    const records = changes.map(([key, value, offset]): KeyedRecord => {
      return { key, value: value === null ? undefined : Buffer.from(value, 'base64'), offset };
    });
    follower?.offer({ from, next }, records, isWhole);
  }

  async close(): Promise<void> {
    await Promise.all(this.#followers.map((follower) => follower.close()));
  }

  #follow(topic: string, waitMs: number, pauseMs: number, handlers: TopicHandlers): KeyedFollower {
    const { log, clock, random, decisions, metrics, isReader, feed } = this.#options;
    return new KeyedFollower({
      log,
      topic,
      clock,
      random,
      waitMs,
      pauseMs,
      isReader,
      onWhole: (records) => {
        handlers.onRead();
        handlers.onWhole(records);
      },
      onRecords: handlers.onRecords,
      onRange: (range, records) => {
        if (!isReader()) return;
        const changes = handlers.changes(records);
        feed({
          topic,
          ...range,
          changes: (changes ?? []).map(fedRecord),
          isWhole: changes !== undefined,
        });
      },
      onAway: (error) => {
        handlers.onAway();
        metrics.count('log_failures', { topic });
        decisions.notable('log-lost', {
          topic,
          reason: error instanceof Error ? error.message : String(error),
        });
      },
      onBack: (awayMs) => {
        handlers.onRead();
        decisions.notable('log-back', { topic, awayMs: Math.round(awayMs) });
      },
    });
  }

  #takeConfiguration(records: readonly KeyedRecord[]): void {
    const { codec, decisions, onConfiguration } = this.#options;
    for (const { key, value, offset } of records) {
      if (key !== codec.configurationKey || !value) continue;
      const configuration = codec.decodeConfiguration(value);
      if (!configuration) {
        decisions.notable('configuration-unreadable', { offset });
        continue;
      }
      if (configuration.version <= this.#version) continue;
      const before = this.#version;
      this.#version = configuration.version;
      onConfiguration(configuration);
      decisions.notable('configuration-applied', {
        version: configuration.version,
        before,
        routes: configuration.routes.length,
        teams: configuration.teams.length,
      });
    }
  }

  #takeAllRunners(records: readonly KeyedRecord[]): void {
    const { codec, directory, decisions } = this.#options;
    const entries = records.flatMap(({ key, value }) => {
      const entry = value && codec.decodeRunner(key, value);
      return entry ? [entry] : [];
    });
    directory.replaceAll(entries);
    this.#hasRunners ||= entries.length > 0;
    decisions.notable('runners-read', { runners: entries.length });
  }

  /** Newest record of each runner that differs from what is known; undefined when they are too many. */
  #runnerChanges(records: readonly KeyedRecord[]): readonly KeyedRecord[] | undefined {
    const { codec, directory } = this.#options;
    const newest = new Map(records.map((record) => [record.key, record]));
    const changed = [...newest.values()].filter(({ key, value }) => {
      const entry = value && codec.decodeRunner(key, value);
      return !isDeepStrictEqual(entry, directory.find(key));
    });
    return changed.length <= MAX_FED_CHANGES ? changed : undefined;
  }

  #takeRunners(records: readonly KeyedRecord[]): void {
    const { codec } = this.#options;
    for (const { key, value } of records) {
      const entry = value && codec.decodeRunner(key, value);
      if (entry) this.#enterRunner(entry);
      else this.#removeRunner(key, value !== undefined);
    }
  }

  #enterRunner(entry: RunnerEntry): void {
    const { directory, decisions } = this.#options;
    const known = directory.find(entry.id);
    directory.put(entry);
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
    directory.remove(id);
    decisions.notable('runner-removed', { runner: id, isUnreadable });
  }
}

function fedRecord({ key, value, offset }: KeyedRecord): [string, string | null, number] {
  return [key, value ? Buffer.from(value).toString('base64') : null, offset];
}
