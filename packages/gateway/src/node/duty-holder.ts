import type { Clock, Closeable } from '@ragwortrudder/core';
import { PeriodicTask } from '@ragwortrudder/core';
import type { Duty } from '../types/duty.ts';
import type { TermView } from '../types/term-view.ts';
import { TermVacancy } from '../utils/term-vacancy.ts';
import type { DecisionLog } from './decision-log.ts';
import type { DutyTermStore } from './duty-term-store.ts';
import type { Peers } from './peers.ts';

interface DutyHolderOptions {
  readonly node: string;
  readonly termStore: DutyTermStore;
  readonly peers: Pick<Peers, 'resignedDutyToken' | 'reachableIds' | 'newestDutyToken'>;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly duties: readonly Duty[];
  /** Minimum time between the last action of one holder and the first of the next, in milliseconds. */
  readonly leaseMs: number;
  /** The node is shutting down and must not acquire a term. */
  readonly isStopping: () => boolean;
  /** Called when the topic of duties shows an active holder that no peer tells of. */
  readonly onUnheardHolder: (term: TermView) => void;
}

const TICK_MS = 500;
/**
 * Additional take-over delay for each node that ranks before this one, in milliseconds: enough for
 * a take-over and its report.
 */
const RANK_DELAY_MS = 500;
/** Ranks that read the topic as soon as no holder is heard; the others read it when they would take over. */
const OBSERVING_RANKS = 3;
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
/** Consecutive failures after which the node gives up its term, so that a peer takes over. */
const MAX_CONSECUTIVE_FAILURES = 5;

/** Decides when this node acquires the duty term, and performs the duties while it holds the term. */
export class DutyHolder implements Closeable {
  readonly #options: DutyHolderOptions;
  readonly #task: PeriodicTask;
  readonly #vacancy: TermVacancy;
  /** Before this time the node does not take over, in milliseconds of the monotonic clock. */
  #seeksAfter = -Infinity;
  /** Monotonic time since which no holder is known, in milliseconds. */
  #vacantSince: number | undefined;
  #performAfter = 0;
  #failures = 0;
  #lastTick: { readonly steady: number; readonly wall: number } | undefined;

  constructor(options: DutyHolderOptions) {
    this.#options = options;
    this.#vacancy = new TermVacancy({ node: options.node, leaseMs: options.leaseMs });
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

  /** Fencing token that the node reports to its peers: 0 when it holds no term or is shutting down. */
  get reportedToken(): number {
    const { termStore, isStopping } = this.#options;
    return termStore.term && !isStopping() ? termStore.term.fencingToken : 0;
  }

  start(): void {
    this.#task.start();
  }

  async close(): Promise<void> {
    this.#options.termStore.resign();
    await Promise.race([this.#task.close(), Promise.resolve()]);
  }

  async #tick(): Promise<void> {
    const { termStore, peers, clock, duties, isStopping, leaseMs } = this.#options;
    const now = clock.monotonic();
    if (isStopping()) return;
    const wasPaused = this.#wasPaused();
    if (termStore.term) {
      this.#vacancy.recordHeld(now);
      this.#vacantSince = undefined;
    }
    const isFailing = this.#failures >= MAX_CONSECUTIVE_FAILURES;
    if (termStore.term && (wasPaused || isFailing)) {
      this.#drop('duty-term-dropped', { reason: wasPaused ? 'paused' : 'failing' });
      this.#failures = 0;
      this.#seeksAfter = now + leaseMs;
    }
    const peerToken = peers.newestDutyToken();
    if (termStore.term && peerToken > termStore.term.fencingToken) {
      this.#drop('duty-term-lost', { newer: peerToken });
    }
    if (!termStore.term) {
      if (peerToken > 0) this.#recordHolder();
      else if (now >= this.#seeksAfter) await this.#seekTerm(now);
      return;
    }
    const token = termStore.term.fencingToken;
    if (!(await termStore.confirm())) {
      this.#options.log.notable('duty-term-lost', { token, newer: 'recorded' });
      return;
    }
    if (now < this.#performAfter) return;
    await this.#perform(duties);
    await termStore.settle();
    this.#failures = 0;
  }

  #recordHolder(): void {
    this.#vacancy.reset();
    this.#vacantSince = undefined;
  }

  #drop(event: string, inputs: Readonly<Record<string, string | number>>): void {
    const { termStore, log } = this.#options;
    log.notable(event, { token: termStore.term?.fencingToken, ...inputs });
    termStore.resign();
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

  /** Takes over once the topic has shown for long enough that no other node holds the term. */
  async #seekTerm(now: number): Promise<void> {
    const { termStore, peers, clock, node, leaseMs, log, onUnheardHolder } = this.#options;
    this.#vacantSince ??= now;
    const rank = peers.reachableIds().filter((id) => id < node).length;
    // Delays are staggered by rank, so that nodes do not all try to take over at once.
    const delayMs = rank * RANK_DELAY_MS;
    const resignedToken = peers.resignedDutyToken;
    const isFirstRead = !this.#vacancy.hasBaseline;
    if (isFirstRead && rank >= OBSERVING_RANKS) {
      const waitMs = delayMs + (resignedToken === undefined ? leaseMs : 0);
      if (now - this.#vacantSince < waitMs) return;
    }
    const isDue = (): boolean =>
      this.#vacancy.remainingMs(clock.monotonic() - delayMs, resignedToken) <= 0;
    if (!isFirstRead && !isDue()) return;
    const view = await termStore.observe();
    const hasMoved = this.#vacancy.observe(view, clock.monotonic());
    if (hasMoved && view.holder !== node) {
      log.notable('duty-holder-unheard', { holder: view.holder, token: view.token });
      onUnheardHolder(view);
      return;
    }
    if (isDue()) await this.#takeOver(view);
  }

  async #takeOver({ position }: TermView): Promise<void> {
    const { termStore, clock, log, duties, node } = this.#options;
    const { isTaken, previousHolder: before } = await termStore.takeOver(position);
    if (!isTaken || !termStore.term) return;
    this.#failures = 0;
    this.#performAfter =
      clock.monotonic() + (before === undefined || before === node ? 0 : SETTLE_MS);
    log.notable('duty-term-taken', { token: termStore.term.fencingToken, before });
    for (const duty of duties) duty.begin(termStore);
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
