import { inject, injectable } from 'inversify';
import { PeriodicTask } from '@ragwortrudder/core';
import type { Clock, Closeable, Random } from '@ragwortrudder/core';
import { MoveController } from '@ragwortrudder/moves';
import type { BadMark, Evidence, MoveStatus, MoveDecision, Outcome } from '@ragwortrudder/moves';
import type { Settings } from '@ragwortrudder/settings';
import { findTicket } from '@ragwortrudder/tickets';
import type { Move } from '@ragwortrudder/tickets';
import { tokens } from '../../types/tokens.ts';
import { TicketStore } from '../configuration/ticket-store.ts';
import { Metrics } from '../metrics/metrics.ts';
import { StateLog } from '../metrics/state-log.ts';
import { PeerDirectory } from '../peers/peer-directory.ts';

const CHECK_PERIOD_MS = 250;
/** Time limit of a move whose ticket names no deadline. */
const DEFAULT_MOVE_MS = 600_000;
/**
 * Time after which a node writes a pending decision that the node with the lowest id should have
 * written.
 */
const DECISION_DELAY_MS = 3000;

/**
 * Version moves as this node runs them: chooses the version for each request, collects evidence
 * about the versions, and writes the decision that ends a move.
 */
@injectable()
export class VersionMoves implements Closeable {
  readonly #clock: Clock;
  readonly #tickets: TicketStore;
  readonly #peers: PeerDirectory;
  readonly #metrics: Metrics;
  readonly #log: StateLog;
  readonly #nodeId: string;
  readonly #moves: MoveController;
  readonly #task: PeriodicTask;
  readonly #loggedStates = new Map<string, string>();
  readonly #decisionDueSince = new Map<string, number>();
  readonly #badVersionListeners = new Set<() => void>();
  #activeMoves: readonly Move[] = [];

  constructor(
    @inject(tokens.settings) settings: Settings,
    @inject(tokens.clock) clock: Clock,
    @inject(tokens.random) random: Random,
    @inject(TicketStore) tickets: TicketStore,
    @inject(PeerDirectory) peers: PeerDirectory,
    @inject(Metrics) metrics: Metrics,
    @inject(StateLog) log: StateLog,
  ) {
    this.#clock = clock;
    this.#tickets = tickets;
    this.#peers = peers;
    this.#metrics = metrics;
    this.#log = log;
    this.#nodeId = settings.node.id;
    this.#moves = new MoveController({
      nodeId: this.#nodeId,
      clock,
      random,
      nodeIds: () => this.#nodeIds(),
    });
    this.#task = new PeriodicTask({
      periodMs: CHECK_PERIOD_MS,
      run: () => this.#check(),
      onFailure: () => {
        metrics.count('move_task_failures');
      },
    });
    tickets.subscribe(() => {
      this.#updateMoves();
    });
  }

  /** Versions that may serve the next request of `service`, in order of preference. */
  versionsFor(service: string): readonly string[] {
    const effective = this.#tickets.state.services[service]?.effectiveVersion;
    const chosen = this.#moves.chooseVersion(service);
    return [chosen, effective].filter((version) => version !== undefined && version !== null);
  }

  /** Records how an attempt ended on a runner. */
  record(outcome: Outcome): void {
    this.#moves.recordOutcome(outcome);
  }

  /** Evidence that this node has collected, for its report. */
  get evidence(): Evidence {
    return this.#moves.evidence;
  }

  /** Known marks that a version is bad, for the report of this node. */
  get badMarks(): readonly BadMark[] {
    return this.#moves.marks;
  }

  get statuses(): readonly MoveStatus[] {
    return this.#moves.statuses;
  }

  /** Calls `listener` when this node marks a version as bad. */
  onVersionMarkedBad(listener: () => void): void {
    this.#badVersionListeners.add(listener);
  }

  /** Merges the marks that other nodes reported. */
  mergeBadMarks(badMarks: readonly BadMark[]): void {
    this.#moves.mergeMarks(badMarks);
  }

  start(): void {
    this.#task.start();
  }

  async close(): Promise<void> {
    await this.#task.close();
  }

  #nodeIds(): readonly string[] {
    return [this.#nodeId, ...this.#peers.available.map((member) => member.nodeId)];
  }

  /** Adds new moves from the log, and settles those for which the log has a decision. */
  #updateMoves(): void {
    const { state } = this.#tickets;
    for (const move of this.#activeMoves) {
      const { word: decision } = findTicket(state, move.ticket)?.moves[move.service] ?? move;
      if (!decision) continue;
      this.#moves.applyDecision({
        moveId: moveIdOf(move),
        word: decision.word,
        reason: decision.reason,
      });
      this.#moves.remove(moveIdOf(move));
    }
    this.#activeMoves = Object.values(state.moves).filter(
      ({ word: decision }) => decision === null,
    );
    for (const move of this.#activeMoves) {
      this.#moves.add({
        id: moveIdOf(move),
        service: move.service,
        fromVersion: move.from,
        toVersion: move.to,
        startedAt: move.startedAt,
        takeoverBy: move.takeoverBy ?? move.startedAt + DEFAULT_MOVE_MS,
      });
    }
  }

  async #check(): Promise<void> {
    const peerReports = this.#peers.reports.filter(({ nodeId }) => nodeId !== this.#nodeId);
    for (const { value } of peerReports) this.#moves.mergeMarks(value.badMarks);
    const newBadMarks = this.#moves.evaluate(peerReports.map(({ value }) => value.evidence));
    if (newBadMarks.length > 0) for (const listener of this.#badVersionListeners) listener();
    this.#logStateChanges();
    for (const decision of this.#moves.pendingDecisions) await this.#writeDecision(decision);
  }

  #logStateChanges(): void {
    for (const { moveId, state, plan } of this.#moves.statuses) {
      if (this.#loggedStates.get(moveId) === state) continue;
      this.#loggedStates.set(moveId, state);
      this.#log.record({ kind: 'move', subject: moveId, state, reason: plan.reason });
    }
  }

  /**
   * Writes a pending decision: the node with the lowest id at once, the others after
   * `DECISION_DELAY_MS` without one. The first decision in the log is the valid one.
   */
  async #writeDecision({ moveId, word, reason }: MoveDecision): Promise<void> {
    const move = this.#activeMoves.find((item) => moveIdOf(item) === moveId);
    if (!move || !this.#tickets.logReachable) return;
    const dueSince = this.#decisionDueSince.get(moveId) ?? this.#clock.monotonic();
    this.#decisionDueSince.set(moveId, dueSince);
    if (!this.#peers.hasLowestId && this.#clock.monotonic() - dueSince < DECISION_DELAY_MS) return;
    await this.#tickets.writeDecision({ ticket: move.ticket, service: move.service, word, reason });
    this.#decisionDueSince.delete(moveId);
    this.#metrics.count('move_words', { word });
  }
}

function moveIdOf(move: Move): string {
  return `${move.service}@${move.position}`;
}
