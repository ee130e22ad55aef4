import type { Clock, Closeable } from '@ragwortrudder/core';
import { PeriodicTask } from '@ragwortrudder/core';
import type { Duty } from '../types/duty.ts';
import type { DecisionLog } from './decision-log.ts';
import type { DutyBoard } from './duty-board.ts';
import type { Peers } from './peers.ts';

interface DutyHolderOptions {
  readonly node: string;
  readonly board: DutyBoard;
  readonly peers: Pick<Peers, 'hasHolderResigned' | 'heardIds' | 'newestDuty'>;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly duties: readonly Duty[];
  /** Least time between the acts of two holders, in milliseconds. */
  readonly leaseMs: number;
  /** The node is stopping and takes no term. */
  readonly isStopping: () => boolean;
}

const TICK_MS = 500;
/** Further wait of each node behind the first that may take over, in milliseconds: a take-over and its report. */
const RANK_WAIT_MS = 500;
/** Time after which the nodes of a new deployment have heard one another, in milliseconds. */
const INTRODUCTION_MS = 1_000;
/** Time between taking a term from another node and the first act, in milliseconds: calls of the node before have arrived. */
const SETTLE_MS = 1_000;
/** Difference of wall and steady clock over one tick that is taken for a pause of the process, in milliseconds. */
const PAUSE_MS = 1_000;
/** Failures in a row after which the node no longer tells that it can act, so that a peer takes over. */
const MAX_FAILURES = 5;

/** Decides when this node takes the duty term, and performs the duties while it holds it. */
export class DutyHolder implements Closeable {
  readonly #options: DutyHolderOptions;
  readonly #task: PeriodicTask;
  #vacantSince: number;
  #actAfter = 0;
  #failures = 0;
  /** Holder of the newest term when this node started; cleared once the node has tried to take one. */
  #atStart: { readonly holder: string | undefined } | undefined;
  #hasLooked = false;
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

  /** Fencing token that the node tells its peers: 0 when it holds no term or cannot act on it. */
  get toldToken(): number {
    const { board, isStopping } = this.#options;
    const canAct = this.#failures < MAX_FAILURES && !isStopping();
    return board.term && canAct ? board.term.fencingToken : 0;
  }

  start(): void {
    this.#task.start();
  }

  async close(): Promise<void> {
    this.#options.board.resign();
    await Promise.race([this.#task.close(), Promise.resolve()]);
  }

  async #tick(): Promise<void> {
    const { board, peers, clock, log, duties, isStopping } = this.#options;
    const now = clock.monotonic();
    if (isStopping()) return;
    const wasPaused = this.#wasPaused();
    await this.#lookOnce();
    if (board.term && wasPaused) {
      log.notable('duty-term-dropped', { token: board.term.fencingToken, reason: 'paused' });
      board.resign();
      this.#vacantSince = now;
    }
    const peerDuty = peers.newestDuty();
    if (board.term && peerDuty > board.term.fencingToken) {
      log.notable('duty-term-lost', { token: board.term.fencingToken, newer: peerDuty });
      board.resign();
    }
    if (!board.term) {
      if (peerDuty > 0) this.#vacantSince = now;
      else if (now - this.#vacantSince >= this.#waitMs()) await this.#takeOver(now);
      return;
    }
    if (now < this.#actAfter) return;
    for (const duty of duties) await duty.perform(board);
    this.#failures = 0;
  }

  async #takeOver(now: number): Promise<void> {
    const { board, clock, log, duties, node } = this.#options;
    this.#vacantSince = now;
    this.#atStart = undefined;
    const { isTaken, before } = await board.takeOver();
    if (!isTaken || !board.term) return;
    this.#failures = 0;
    this.#actAfter = clock.monotonic() + (before === undefined || before === node ? 0 : SETTLE_MS);
    log.notable('duty-term-taken', { token: board.term.fencingToken, before });
    for (const duty of duties) duty.begin(board);
  }

  /** Nodes wait in the order of their names, so that they do not all take over at once. */
  #waitMs(): number {
    const { peers, node } = this.#options;
    const rank = peers.heardIds().filter((id) => id < node).length;
    return this.#firstWaitMs() + rank * RANK_WAIT_MS;
  }

  /** A holder that may still act is waited for; a life of this node before and a topic without terms need no wait. */
  #firstWaitMs(): number {
    const { peers, node, leaseMs } = this.#options;
    if (peers.hasHolderResigned) return 0;
    if (!this.#atStart) return leaseMs;
    if (this.#atStart.holder === undefined) return INTRODUCTION_MS;
    return this.#atStart.holder === node ? 0 : leaseMs;
  }

  async #lookOnce(): Promise<void> {
    if (this.#hasLooked) return;
    this.#atStart = { holder: await this.#options.board.newestHolder() };
    this.#hasLooked = true;
  }

  #wasPaused(): boolean {
    const { clock } = this.#options;
    const tick = { steady: clock.monotonic(), wall: clock.wall() };
    const last = this.#lastTick;
    this.#lastTick = tick;
    if (!last) return false;
    const steadyMs = tick.steady - last.steady;
    const wallMs = tick.wall - last.wall;
    return Math.abs(wallMs - steadyMs) > PAUSE_MS || steadyMs > TICK_MS + PAUSE_MS * 2;
  }
}
