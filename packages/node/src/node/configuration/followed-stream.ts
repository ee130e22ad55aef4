import createDebug from 'debug';
import { InvalidInput, PeriodicTask } from '@ragwortrudder/core';
import type { Clock, Closeable, Random } from '@ragwortrudder/core';
import { GroupCommit, LogFollower, SnapshotWriter } from '@ragwortrudder/log';
import type { Fold, RejectedRecord } from '@ragwortrudder/log';
import { HttpLog } from '@ragwortrudder/platform';
import type { Settings } from '@ragwortrudder/settings';

const debug = createDebug('ragwortrudder:state');
const SNAPSHOT_PERIOD_MS = 5000;

interface FollowedStreamOptions<S> {
  readonly stream: string;
  readonly fold: Fold<S>;
  readonly settings: Settings;
  readonly clock: Clock;
  readonly random: Random;
  /** True on the node that writes snapshots. It is safe if two nodes do. */
  readonly writesSnapshots: () => boolean;
  /** Called when a snapshot cannot be written, and for a record that every node passes over. */
  readonly onFailure: (error: unknown) => void;
}

/**
 * Follows one stream of the platform's log: folds it to a state, appends to it, and writes
 * snapshots before records expire.
 */
export class FollowedStream<S> implements Closeable {
  readonly follower: LogFollower<S>;
  readonly writer: GroupCommit;
  readonly #log: HttpLog;
  readonly #snapshots: PeriodicTask;

  constructor(options: FollowedStreamOptions<S>) {
    const { stream, fold, settings, clock, random, onFailure } = options;
    const { pollWaitMs, appendTimeoutMs, snapshotAgeMs, snapshotEvery } = settings.log;
    const log = new HttpLog({ baseUrl: settings.platform.url, stream });
    this.#log = log;
    const onRejected = (rejected: RejectedRecord): void => {
      debug('%j', {
        node: settings.node.id,
        kind: 'record',
        stream,
        state: 'rejected',
        ...rejected,
      });
      const { offset, cause } = rejected;
      onFailure(new InvalidInput(`record ${offset} of ${stream} is passed over`, [cause]));
    };
    this.follower = new LogFollower({ log, fold, clock, random, pollWaitMs, onRejected });
    this.writer = new GroupCommit({
      log,
      follower: this.follower,
      random,
      timeoutMs: appendTimeoutMs,
    });
    const snapshots = new SnapshotWriter({
      source: this.follower,
      writer: this.writer,
      clock,
      maxAgeMs: snapshotAgeMs,
      maxRecords: snapshotEvery,
    });
    this.#snapshots = new PeriodicTask({
      periodMs: SNAPSHOT_PERIOD_MS,
      run: async () => {
        if (options.writesSnapshots()) await snapshots.writeIfDue();
      },
      onFailure,
    });
  }

  /** True while the log is reachable for reads. */
  get reachable(): boolean {
    return this.follower.failure === undefined && this.follower.lastContact !== undefined;
  }

  start(): void {
    this.follower.start();
    this.#snapshots.start();
  }

  async close(): Promise<void> {
    await this.#snapshots.close();
    await this.writer.close();
    await this.follower.close();
    await this.#log.close();
  }
}
