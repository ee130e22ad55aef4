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

const LOOK_PERIOD_MS = 250;
/** Time given to a move whose ticket names no deadline. */
const DEFAULT_MOVE_MS = 600_000;
/** Time after which a node writes a due word although another one should have. */
const WORD_PATIENCE_MS = 3000;

/** Moves between versions on this node: which version serves, what was seen of it, and the final word. */
@injectable()
export class VersionMoves implements Closeable {
  readonly #clock: Clock;
  readonly #tickets: TicketBoard;
  readonly #peers: PeerDirectory;
  readonly #metrics: Metrics;
  readonly #log: StateLog;
  readonly #nodeId: string;
  readonly #board: MoveBoard;
  readonly #task: PeriodicTask;
  readonly #states = new Map<string, string>();
  readonly #dueSince = new Map<string, number>();
  readonly #listeners = new Set<() => void>();
  #followed: readonly Move[] = [];

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
    this.#board = new MoveBoard({
      nodeId: this.#nodeId,
      clock,
      random,
      nodeIds: () => this.#nodeIds(),
    });
    this.#task = new PeriodicTask({
      periodMs: LOOK_PERIOD_MS,
      run: () => this.#look(),
      onFailure: () => {
        metrics.count('move_task_failures');
      },
    });
    tickets.subscribe(() => {
      this.#follow();
    });
  }

  /** Versions that may serve the next request of `service`, the preferred one first. */
  versionsFor(service: string): readonly string[] {
    const effective = this.#tickets.state.services[service]?.effectiveVersion;
    const chosen = this.#board.choose(service);
    return [chosen, effective].filter((version) => version !== undefined && version !== null);
  }

  /** Counts how a request ended at a runner. */
  record(outcome: Outcome): void {
    this.#board.record(outcome);
  }

  /** Evidence of this node, for its report. */
  get evidence(): Evidence {
    return this.#board.evidence;
  }

  /** Statements that a version is bad, for the report of this node. */
  get marks(): readonly BadMark[] {
    return this.#board.marks;
  }

  get statuses(): readonly MoveStatus[] {
    return this.#board.statuses;
  }

  /** Calls `listener` when this node finds a version bad. */
  onBad(listener: () => void): void {
    this.#listeners.add(listener);
  }

  /** Joins what other nodes reported. */
  merge(marks: readonly BadMark[]): void {
    this.#board.mergeMarks(marks);
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
  #follow(): void {
    const { state } = this.#tickets;
    for (const move of this.#followed) {
      const { word } = ticketAt(state, move.ticket)?.moves[move.service] ?? move;
      if (!word) continue;
      this.#board.settle({ moveId: idOf(move), word: word.word, reason: word.reason });
      this.#board.forget(idOf(move));
    }
    this.#followed = Object.values(state.moves).filter(({ word }) => word === null);
    for (const move of this.#followed) {
      this.#board.add({
        id: idOf(move),
        service: move.service,
        fromVersion: move.from,
        toVersion: move.to,
        startedAt: move.startedAt,
        takeoverBy: move.takeoverBy ?? move.startedAt + DEFAULT_MOVE_MS,
      });
    }
  }

  async #look(): Promise<void> {
    const others = this.#peers.reports.filter(({ nodeId }) => nodeId !== this.#nodeId);
    for (const { value } of others) this.#board.mergeMarks(value.badMarks);
    const found = this.#board.look(others.map(({ value }) => value.evidence));
    if (found.length > 0) for (const listener of this.#listeners) listener();
    this.#recordStates();
    for (const word of this.#board.pendingWords) await this.#writeWord(word);
  }

  #recordStates(): void {
    for (const { moveId, state, plan } of this.#board.statuses) {
      if (this.#states.get(moveId) === state) continue;
      this.#states.set(moveId, state);
      this.#log.record({ kind: 'move', subject: moveId, state, reason: plan.reason });
    }
  }

  /** The lowest node id writes the word; the others follow if it stays away. The first by offset stands. */
  async #writeWord({ moveId, word, reason }: MoveWord): Promise<void> {
    const move = this.#followed.find((item) => idOf(item) === moveId);
    if (!move || !this.#tickets.logReachable) return;
    const dueSince = this.#dueSince.get(moveId) ?? this.#clock.monotonic();
    this.#dueSince.set(moveId, dueSince);
    if (!this.#peers.isFirst && this.#clock.monotonic() - dueSince < WORD_PATIENCE_MS) return;
    await this.#tickets.writeWord({ ticket: move.ticket, service: move.service, word, reason });
    this.#dueSince.delete(moveId);
    this.#metrics.count('move_words', { word });
  }
}

function idOf(move: Move): string {
  return `${move.service}@${move.position}`;
}
