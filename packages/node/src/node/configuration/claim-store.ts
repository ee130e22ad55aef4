import { inject, injectable } from 'inversify';
import { claimFold, findClaim } from '@ragwortrudder/claims';
import type { ClaimEntry, ClaimRecord, ClaimState } from '@ragwortrudder/claims';
import type { Clock, Closeable, Random } from '@ragwortrudder/core';
import { POSITIONS_PER_RECORD } from '@ragwortrudder/log';
import type { Position } from '@ragwortrudder/log';
import type { Settings } from '@ragwortrudder/settings';
import { tokens } from '../../types/tokens.ts';
import { Metrics } from '../metrics/metrics.ts';
import { PeerDirectory } from '../peers/peer-directory.ts';
import { FollowedStream } from './followed-stream.ts';

const STREAM = 'claims';

/** Claims of caller-made keys, materialized from the claim stream of the log. */
@injectable()
export class ClaimStore implements Closeable {
  readonly #stream: FollowedStream<ClaimState>;

  constructor(
    @inject(tokens.settings) settings: Settings,
    @inject(tokens.clock) clock: Clock,
    @inject(tokens.random) random: Random,
    @inject(PeerDirectory) peers: PeerDirectory,
    @inject(Metrics) metrics: Metrics,
  ) {
    const stream = new FollowedStream({
      stream: STREAM,
      fold: claimFold(),
      settings,
      clock,
      random,
      writesSnapshots: () => peers.hasLowestId,
      onFailure: () => {
        metrics.count('configuration_task_failures');
      },
    });
    this.#stream = stream;
    const { writer } = stream;
    metrics.gauge(
      'claim_appends',
      'Appends to the stream of claims.',
      () => writer.counters.appends,
    );
    metrics.gauge(
      'claim_entries',
      'Entries appended to the stream of claims.',
      () => writer.counters.entries,
    );
  }

  get state(): ClaimState {
    return this.#stream.follower.state;
  }

  /** True while the log is reachable and its end has been read. */
  get available(): boolean {
    return this.#stream.follower.caughtUp && this.#stream.reachable;
  }

  /** Position after the last entry that the state covers. */
  get position(): Position {
    return this.#stream.follower.next * POSITIONS_PER_RECORD;
  }

  /** Returns the claim of a key as recorded in the log; undefined if there is none. */
  find(tenant: string, key: string): ClaimRecord | undefined {
    return findClaim(this.state, tenant, key);
  }

  /** Appends `entry` and resolves once it has been read back from the log. */
  async write(entry: ClaimEntry): Promise<Position> {
    return this.#stream.writer.write(entry);
  }

  start(): void {
    this.#stream.start();
  }

  async close(): Promise<void> {
    await this.#stream.close();
  }
}
