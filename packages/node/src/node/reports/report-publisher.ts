import { inject, injectable } from 'inversify';
import { PeriodicTask, canonicalJson } from '@ragwortrudder/core';
import type { Closeable } from '@ragwortrudder/core';
import { TicketBoard } from '../configuration/ticket-board.ts';
import { NodeLife } from '../life/node-life.ts';
import { Metrics } from '../metrics/metrics.ts';
import { VersionMoves } from '../moves/version-moves.ts';
import { PeerDirectory } from '../peers/peer-directory.ts';
import { RunnerPool } from '../runners/runner-pool.ts';
import { ReturningVms } from '../supply/returning-vms.ts';

const PERIOD_MS = 500;

/** Publishes this node's report when it changed, at once when a version was found bad. */
@injectable()
export class ReportPublisher implements Closeable {
  readonly #tickets: TicketBoard;
  readonly #life: NodeLife;
  readonly #moves: VersionMoves;
  readonly #peers: PeerDirectory;
  readonly #pool: RunnerPool;
  readonly #returning: ReturningVms;
  readonly #task: PeriodicTask;
  #published = '';

  constructor(
    @inject(TicketBoard) tickets: TicketBoard,
    @inject(NodeLife) life: NodeLife,
    @inject(VersionMoves) moves: VersionMoves,
    @inject(PeerDirectory) peers: PeerDirectory,
    @inject(RunnerPool) pool: RunnerPool,
    @inject(ReturningVms) returning: ReturningVms,
    @inject(Metrics) metrics: Metrics,
  ) {
    this.#tickets = tickets;
    this.#life = life;
    this.#moves = moves;
    this.#peers = peers;
    this.#pool = pool;
    this.#returning = returning;
    this.#task = new PeriodicTask({
      periodMs: PERIOD_MS,
      run: () => {
        this.publish();
      },
      onFailure: () => {
        metrics.count('report_task_failures');
      },
    });
    moves.onVersionMarkedBad(() => {
      this.publish({ urgent: true });
    });
  }

  /** Publishes the report if it changed. */
  publish({ urgent } = { urgent: false }): void {
    const returningVms = this.#returning.drainedHere;
    const report = {
      tickets: this.#tickets.applied,
      draining: !this.#life.ready,
      evidence: this.#moves.evidence,
      badMarks: this.#moves.badMarks,
      leavingVms: this.#pool.leavingVms.filter((vmId) => !this.#returning.has(vmId)),
      ...(returningVms.length > 0 ? { returningVms } : {}),
    };
    const text = canonicalJson(report);
    if (text === this.#published) return;
    this.#published = text;
    this.#peers.publish(report, { urgent });
  }

  start(): void {
    this.#task.start();
  }

  async close(): Promise<void> {
    await this.#task.close();
  }
}
