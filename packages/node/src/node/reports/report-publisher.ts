import { inject, injectable } from 'inversify';
import { PeriodicTask, canonicalJson } from '@ragwortrudder/core';
import type { Closeable } from '@ragwortrudder/core';
import { TicketStore } from '../configuration/ticket-store.ts';
import { NodeLifecycle } from '../lifecycle/node-lifecycle.ts';
import { Metrics } from '../metrics/metrics.ts';
import { VersionMoves } from '../moves/version-moves.ts';
import { PeerDirectory } from '../peers/peer-directory.ts';
import { RunnerPool } from '../runners/runner-pool.ts';
import { ReturningVms } from '../supply/returning-vms.ts';

const PERIOD_MS = 500;

/**
 * Publishes this node's report to its peers when it has changed, and urgently when a version is
 * marked bad.
 */
@injectable()
export class ReportPublisher implements Closeable {
  readonly #tickets: TicketStore;
  readonly #lifecycle: NodeLifecycle;
  readonly #moves: VersionMoves;
  readonly #peers: PeerDirectory;
  readonly #pool: RunnerPool;
  readonly #returning: ReturningVms;
  readonly #task: PeriodicTask;
  #published = '';

  constructor(
    @inject(TicketStore) tickets: TicketStore,
    @inject(NodeLifecycle) lifecycle: NodeLifecycle,
    @inject(VersionMoves) moves: VersionMoves,
    @inject(PeerDirectory) peers: PeerDirectory,
    @inject(RunnerPool) pool: RunnerPool,
    @inject(ReturningVms) returning: ReturningVms,
    @inject(Metrics) metrics: Metrics,
  ) {
    this.#tickets = tickets;
    this.#lifecycle = lifecycle;
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

  /** Publishes the report if it differs from the last one published. */
  publish({ urgent } = { urgent: false }): void {
    const returningVms = this.#returning.drainedHere;
    const report = {
      tickets: this.#tickets.applied,
      draining: !this.#lifecycle.ready,
      evidence: this.#moves.evidence,
      badMarks: this.#moves.badMarks,
      leavingVms: this.#pool.leavingVms.filter((vmId) => !this.#returning.has(vmId)),
      ...(returningVms.length > 0 ? { returningVms } : {}),
    };
    const serialized = canonicalJson(report);
    if (serialized === this.#published) return;
    this.#published = serialized;
    this.#peers.publish(report, { urgent });
  }

  start(): void {
    this.#task.start();
  }

  async close(): Promise<void> {
    await this.#task.close();
  }
}
