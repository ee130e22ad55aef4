import { inject, injectable } from 'inversify';
import { PeriodicTask } from '@ragwortrudder/core';
import type { Clock, Closeable, Random } from '@ragwortrudder/core';
import { MoveBoard } from '@ragwortrudder/moves';
import type { BadMark, Evidence, MoveStatus, MoveWord, Outcome } from '@ragwortrudder/moves';
import type { Settings } from '@ragwortrudder/settings';
import { ticketAt } from '@ragwortrudder/tickets';
import type { Move } from '@ragwortrudder/tickets';
import { tokens } from '../../types/tokens.ts';
import { TicketBoard } from '../configuration/ticket-board.ts';
import { Metrics } from '../metrics/metrics.ts';
import { StateLog } from '../metrics/state-log.ts';
import { PeerDirectory } from '../peers/peer-directory.ts';

const CHECK_PERIOD_MS = 250;
/** Time given to a move whose ticket names no deadline. */
const DEFAULT_MOVE_MS = 600_000;
/** Time after which a node writes a due word although another one should have. */
const DECISION_DELAY_MS = 3000;

/** Moves between versions on this node: which version serves, what was seen of it, and the final word. */
@injectable()
export class VersionMoves implements Closeable {
  readonly #clock: Clock;
  readonly #tickets: TicketBoard;
  readonly #peers: PeerDirectory;
  readonly #metrics: Metrics;
  readonly #log: StateLog;
  readonly #nodeId: string;
  readonly #moves: MoveBoard;
  readonly #task: PeriodicTask;
  readonly #loggedStates = new Map<string, string>();
  readonly #decisionDueSince = new Map<string, number>();
  readonly #badVersionListeners = new Set<() => void>();
  #activeMoves: readonly Move[] = [];

  constructor(
    @inject(tokens.settings) settings: Settings,
    @inject(tokens.clock) clock: Clock,
    @inject(tokens.random) random: Random,
    @inject(TicketBoard) tickets: TicketBoard,
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
    this.#moves = new MoveBoard({
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

  /** Versions that may serve the next request of `service`, the preferred one first. */
  versionsFor(service: string): readonly string[] {
    const effective = this.#tickets.state.services[service]?.effectiveVersion;
    const chosen = this.#moves.choose(service);
    return [chosen, effective].filter((version) => version !== undefined && version !== null);
  }

  /** Counts how a request ended at a runner. */
  record(outcome: Outcome): void {
    this.#moves.record(outcome);
  }

  /** Evidence of this node, for its report. */
  get evidence(): Evidence {
    return this.#moves.evidence;
  }

  /** Statements that a version is bad, for the report of this node. */
  get badMarks(): readonly BadMark[] {
    return this.#moves.marks;
  }

  get statuses(): readonly MoveStatus[] {
    return this.#moves.statuses;
  }

  /** Calls `listener` when this node finds a version bad. */
  onVersionMarkedBad(listener: () => void): void {
    this.#badVersionListeners.add(listener);
  }

  /** Joins what other nodes reported. */
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

  /** Takes over new moves, and the words of those that ended, from the log. */
  #updateMoves(): void {
    const { state } = this.#tickets;
    for (const move of this.#activeMoves) {
      const { word: decision } = ticketAt(state, move.ticket)?.moves[move.service] ?? move;
      if (!decision) continue;
      this.#moves.settle({ moveId: moveIdOf(move), word: decision.word, reason: decision.reason });
      this.#moves.forget(moveIdOf(move));
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
    const newBadMarks = this.#moves.look(peerReports.map(({ value }) => value.evidence));
    if (newBadMarks.length > 0) for (const listener of this.#badVersionListeners) listener();
    this.#logStateChanges();
    for (const decision of this.#moves.pendingWords) await this.#writeDecision(decision);
  }

  #logStateChanges(): void {
    for (const { moveId, state, plan } of this.#moves.statuses) {
      if (this.#loggedStates.get(moveId) === state) continue;
      this.#loggedStates.set(moveId, state);
      this.#log.record({ kind: 'move', subject: moveId, state, reason: plan.reason });
    }
  }

  /** The lowest node id writes the word; the others follow if it stays away. The first by offset stands. */
  async #writeDecision({ moveId, word, reason }: MoveWord): Promise<void> {
    const move = this.#activeMoves.find((item) => moveIdOf(item) === moveId);
    if (!move || !this.#tickets.logReachable) return;
    const dueSince = this.#decisionDueSince.get(moveId) ?? this.#clock.monotonic();
    this.#decisionDueSince.set(moveId, dueSince);
    if (!this.#peers.hasLowestId && this.#clock.monotonic() - dueSince < DECISION_DELAY_MS) return;
    await this.#tickets.writeWord({ ticket: move.ticket, service: move.service, word, reason });
    this.#decisionDueSince.delete(moveId);
    this.#metrics.count('move_words', { word });
  }
}

function moveIdOf(move: Move): string {
  return `${move.service}@${move.position}`;
}
