import type { Clock, Closeable } from '@ragwortrudder/core';
import { PeriodicTask } from '@ragwortrudder/core';
import type { Duty } from '../types/duty.ts';
import type { DecisionLog } from './decision-log.ts';
import type { DutyTermStore } from './duty-term-store.ts';
import type { Peers } from './peers.ts';

interface DutyHolderOptions {
  readonly node: string;
  readonly termStore: DutyTermStore;
  readonly peers: Pick<Peers, 'hasHolderResigned' | 'reachableIds' | 'newestDutyToken'>;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly duties: readonly Duty[];
  /** Minimum time between the last action of one holder and the first of the next, in milliseconds. */
  readonly leaseMs: number;
  /** The node is shutting down and must not acquire a term. */
  readonly isStopping: () => boolean;
}

const TICK_MS = 500;
/**
 * Additional take-over delay for each node that ranks before this one, in milliseconds: enough for
 * a take-over and its report.
 */
const RANK_DELAY_MS = 500;
/** Time within which the nodes of a new deployment discover each other, in milliseconds. */
const DISCOVERY_MS = 1_000;
/**
 * Time between taking over from another node and the first action, in milliseconds: calls of the
 * previous holder have arrived by then.
 */
const SETTLE_MS = 1_000;
/**
 * Difference between wall and monotonic clock over one tick that counts as a pause of the process,
 * in milliseconds.
 */
const PAUSE_THRESHOLD_MS = 1_000;
/** Consecutive failures after which the node stops reporting its token, so that a peer takes over. */
const MAX_CONSECUTIVE_FAILURES = 5;

/** Decides when this node acquires the duty term, and performs the duties while it holds the term. */
export class DutyHolder implements Closeable {
  readonly #options: DutyHolderOptions;
  readonly #task: PeriodicTask;
  #vacantSince: number;
  #performAfter = 0;
  #failures = 0;
  /** Holder of the newest term when this node started; cleared once the node has tried to acquire one. */
  #termAtStart: { readonly holder: string | undefined } | undefined;
  #hasReadTerm = false;
  #lastTick: { readonly steady: number; readonly wall: number } | undefined;

  constructor(options: DutyHolderOptions) {
    this.#options = options;
    this.#vacantSince = options.clock.monotonic();
    this.#task = new PeriodicTask({
      periodMs: TICK_MS,
      run: () => this.#tick(),
      onFailure: (error) => {
        this.#failures += 1;
        options.log.notable('duty-failed', {
          reason: error instanceof Error ? error.message : String(error),
          failures: this.#failures,
        });
      },
    });
  }

  /** Fencing token that the node reports to its peers: 0 when it holds no term or cannot act on it. */
  get reportedToken(): number {
    const { termStore, isStopping } = this.#options;
    const canAct = this.#failures < MAX_CONSECUTIVE_FAILURES && !isStopping();
    return termStore.term && canAct ? termStore.term.fencingToken : 0;
  }

  start(): void {
    this.#task.start();
  }

  async close(): Promise<void> {
    this.#options.termStore.resign();
    await Promise.race([this.#task.close(), Promise.resolve()]);
  }

  async #tick(): Promise<void> {
    const { termStore, peers, clock, log, duties, isStopping } = this.#options;
    const now = clock.monotonic();
    if (isStopping()) return;
    const wasPaused = this.#wasPaused();
    await this.#readTermOnce();
    if (termStore.term && wasPaused) {
      log.notable('duty-term-dropped', { token: termStore.term.fencingToken, reason: 'paused' });
      termStore.resign();
      this.#vacantSince = now;
    }
    const peerToken = peers.newestDutyToken();
    if (termStore.term && peerToken > termStore.term.fencingToken) {
      log.notable('duty-term-lost', { token: termStore.term.fencingToken, newer: peerToken });
      termStore.resign();
    }
    if (!termStore.term) {
      if (peerToken > 0) this.#vacantSince = now;
      else if (now - this.#vacantSince >= this.#takeOverDelayMs()) await this.#takeOver(now);
      return;
    }
    const token = termStore.term.fencingToken;
    if (!(await termStore.confirm())) {
      log.notable('duty-term-lost', { token, newer: 'recorded' });
      return;
    }
    if (now < this.#performAfter) return;
    await this.#perform(duties);
    this.#failures = 0;
  }

  /** Performs every duty, also after one has failed, and then throws the first failure. */
  async #perform(duties: readonly Duty[]): Promise<void> {
    const failures: unknown[] = [];
    for (const duty of duties) {
      await duty.perform(this.#options.termStore).catch((error: unknown) => {
        failures.push(error);
      });
    }
    if (failures.length > 0) throw failures[0];
  }

  async #takeOver(now: number): Promise<void> {
    const { termStore, clock, log, duties, node } = this.#options;
    this.#vacantSince = now;
    this.#termAtStart = undefined;
    const { isTaken, previousHolder: before } = await termStore.takeOver();
    if (!isTaken || !termStore.term) return;
    this.#failures = 0;
    this.#performAfter =
      clock.monotonic() + (before === undefined || before === node ? 0 : SETTLE_MS);
    log.notable('duty-term-taken', { token: termStore.term.fencingToken, before });
    for (const duty of duties) duty.begin(termStore);
  }

  /** Delays are staggered by node id, so that nodes do not all try to take over at once. */
  #takeOverDelayMs(): number {
    const { peers, node } = this.#options;
    const rank = peers.reachableIds().filter((id) => id < node).length;
    return this.#baseDelayMs() + rank * RANK_DELAY_MS;
  }

  /**
   * Waits for the lease of a holder that may still act. No lease has to expire after a resignation, when
   * the holder was an earlier incarnation of this node, or when no term exists yet.
   */
  #baseDelayMs(): number {
    const { peers, node, leaseMs } = this.#options;
    if (peers.hasHolderResigned) return 0;
    if (!this.#termAtStart) return leaseMs;
    if (this.#termAtStart.holder === undefined) return DISCOVERY_MS;
    return this.#termAtStart.holder === node ? 0 : leaseMs;
  }

  async #readTermOnce(): Promise<void> {
    if (this.#hasReadTerm) return;
    this.#termAtStart = { holder: await this.#options.termStore.latestHolder() };
    this.#hasReadTerm = true;
  }

  #wasPaused(): boolean {
    const { clock } = this.#options;
    const tick = { steady: clock.monotonic(), wall: clock.wall() };
    const last = this.#lastTick;
    this.#lastTick = tick;
    if (!last) return false;
    const steadyMs = tick.steady - last.steady;
    const wallMs = tick.wall - last.wall;
    return (
      Math.abs(wallMs - steadyMs) > PAUSE_THRESHOLD_MS ||
      steadyMs > TICK_MS + PAUSE_THRESHOLD_MS * 2
    );
  }
}
