import type { Clock } from '@ragwortrudder/core';
import { PlatformRateExceeded } from '@ragwortrudder/platform';
import type { CloudApi, Vm } from '@ragwortrudder/platform';
import { requestIdOf } from '@ragwortrudder/supply';
import type { RateLimiter } from '../../utils/rate-limiter.ts';
import type { Metrics } from '../metrics/metrics.ts';

interface PredecessorStartsOptions {
  /** Prefixes of the request ids that earlier holders used, one for each holder's epoch. */
  readonly epochs: readonly string[];
  readonly cloud: Pick<CloudApi, 'findStarted'>;
  readonly pace: RateLimiter;
  readonly clock: Clock;
  readonly metrics: Metrics;
  /** Consecutive sequence numbers without a VM after which the search of an epoch ends. */
  readonly maxMisses: number;
  /** Longest wait for the VMs found to appear in the VM list, in milliseconds. */
  readonly listLagMs: number;
}

/**
 * Finds the VMs that earlier holders of a job started, by their request ids, and waits until the
 * VM list contains them, so that the first plan counts them.
 */
export class PredecessorStarts {
  readonly #options: PredecessorStartsOptions;
  readonly #startedAt: number;
  readonly #found = new Set<string>();
  #epochIndex = 0;
  #sequence = 0;
  #misses = 0;

  constructor(options: PredecessorStartsOptions) {
    this.#options = options;
    this.#startedAt = options.clock.monotonic();
  }

  /**
   * Continues the search; true once every VM found is listed, or would be listed by now if it still
   * existed.
   */
  async recover(vms: readonly Vm[], until: number): Promise<boolean> {
    const { clock, listLagMs } = this.#options;
    while (this.#epochIndex < this.#options.epochs.length) {
      if (!(await this.#lookUpNext(until))) return false;
    }
    const listed = new Set(vms.map(({ id }) => id));
    const allListed = [...this.#found].every((id) => listed.has(id));
    return allListed || clock.monotonic() - this.#startedAt >= listLagMs;
  }

  /** Looks up the next request id; false if the search must continue in a later step. */
  async #lookUpNext(until: number): Promise<boolean> {
    const { epochs, cloud, pace, metrics, maxMisses } = this.#options;
    const epoch = epochs[this.#epochIndex];
    if (epoch === undefined || !(await pace.acquire(until))) return false;
    try {
      const id = await cloud.findStarted(requestIdOf(epoch, this.#sequence));
      if (id !== undefined) {
        this.#found.add(id);
        metrics.count('supply_actions', { action: 'adopt', result: 'found' });
      }
      this.#sequence += 1;
      this.#misses = id === undefined ? this.#misses + 1 : 0;
    } catch (error) {
      if (error instanceof PlatformRateExceeded) pace.throttled(error.retryAfterMs);
      metrics.count('supply_actions', { action: 'adopt', result: 'failed' });
      return false;
    }
    if (this.#misses >= maxMisses) this.#nextEpoch();
    return true;
  }

  #nextEpoch(): void {
    this.#epochIndex += 1;
    this.#sequence = 0;
    this.#misses = 0;
  }
}
