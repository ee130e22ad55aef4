import { inject, injectable } from 'inversify';
import { claimFold, findClaim } from '@ragwortrudder/claims';
import type { ClaimEntry, ClaimRecord, ClaimState } from '@ragwortrudder/claims';
import type { Clock, Closeable, Random } from '@ragwortrudder/core';
import { GroupCommit, LogFollower } from '@ragwortrudder/log';
import type { Position } from '@ragwortrudder/log';
import { HttpLog } from '@ragwortrudder/platform';
import type { Settings } from '@ragwortrudder/settings';
import { tokens } from '../../types/tokens.ts';
import { Metrics } from '../metrics/metrics.ts';

const STREAM = 'claims';

/** The claims of caller-made keys, as the log holds them. */
@injectable()
export class ClaimBoard implements Closeable {
  readonly #log: HttpLog;
  readonly #follower: LogFollower<ClaimState>;
  readonly #writer: GroupCommit;

  constructor(
    @inject(tokens.settings) settings: Settings,
    @inject(tokens.clock) clock: Clock,
    @inject(tokens.random) random: Random,
    @inject(Metrics) metrics: Metrics,
  ) {
    const { pollWaitMs, appendTimeoutMs } = settings.log;
    const log = new HttpLog({ baseUrl: settings.platform.url, stream: STREAM });
    this.#log = log;
    this.#follower = new LogFollower({ log, fold: claimFold(), clock, random, pollWaitMs });
    this.#writer = new GroupCommit({
      log,
      follower: this.#follower,
      random,
      timeoutMs: appendTimeoutMs,
    });
    metrics.gauge(
      'claim_appends',
      'Appends to the stream of claims.',
      () => this.#writer.counters.appends,
    );
    metrics.gauge(
      'claim_entries',
      'Entries appended to the stream of claims.',
      () => this.#writer.counters.entries,
    );
  }

  get state(): ClaimState {
    return this.#follower.state;
  }

  /** True while the log answers and its end has been read. */
  get available(): boolean {
    return this.#follower.caughtUp && this.#follower.failure === undefined;
  }

  /** What the log proves about a key. */
  find(tenant: string, key: string): ClaimRecord | undefined {
    return findClaim(this.state, tenant, key);
  }

  /** Appends `entry` and resolves once it is read back. */
  async write(entry: ClaimEntry): Promise<Position> {
    return this.#writer.write(entry);
  }

  /** Calls `listener` after each change. */
  subscribe(listener: () => void): () => void {
    return this.#follower.subscribe(listener);
  }

  start(): void {
    this.#follower.start();
  }

  async close(): Promise<void> {
    await this.#writer.close();
    await this.#follower.close();
    await this.#log.close();
  }
}
