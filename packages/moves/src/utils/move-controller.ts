import type { Clock, Random } from '@ragwortrudder/core';
import type { BadMark } from '../types/bad-mark.ts';
import type { Evidence } from '../types/evidence.ts';
import type { Move } from '../types/move.ts';
import type { MoveControllerOptions } from '../types/move-controller-options.ts';
import type { MoveStatus } from '../types/move-status.ts';
import type { MoveDecision } from '../types/move-decision.ts';
import type { Outcome } from '../types/outcome.ts';
import type { VerdictOptions } from '../types/verdict-options.ts';
import { allowanceOf } from './allowance-of.ts';
import { chooseVersion } from './choose-version.ts';
import { EvidenceRecorder } from './evidence-recorder.ts';
import { MoveRecord } from './move-record.ts';
import { sumEvidence } from './sum-evidence.ts';

interface Usage {
  readonly routed: number;
  readonly started: number;
  readonly inFlight: number;
}

/** Maximum number of unknown moves whose marks are buffered until their tickets arrive. */
const MAX_BUFFERED_MOVES = 64;
const NO_USAGE: Usage = { routed: 0, started: 0, inFlight: 0 };

/** Runs the version moves on one node: chooses versions, counts outcomes, evaluates verdicts and derives the decisions that are due. */
export class MoveController {
  readonly #nodeId: string;
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #nodeIds: () => readonly string[];
  readonly #options: VerdictOptions;
  readonly #recorder = new EvidenceRecorder();
  readonly #records = new Map<string, MoveRecord>();
  readonly #usage = new Map<string, Usage>();
  readonly #bufferedMarks = new Map<string, BadMark[]>();

  constructor(options: MoveControllerOptions) {
    this.#nodeId = options.nodeId;
    this.#clock = options.clock;
    this.#random = options.random;
    this.#nodeIds = options.nodeIds;
    this.#options = options.verdict ?? {};
  }

  /** Adds the move of a ticket; it supersedes an active move of the same service. */
  add(move: Move): void {
    if (this.#records.has(move.id)) return;
    this.#activeRecord(move.service)?.supersede();
    const recordOutcome = new MoveRecord(move, this.#options);
    for (const mark of this.#bufferedMarks.get(move.id) ?? []) recordOutcome.addMark(mark);
    this.#bufferedMarks.delete(move.id);
    this.#records.set(move.id, recordOutcome);
  }

  /** Applies the decision from the log; the one with the lowest offset is effective. */
  applyDecision(decision: MoveDecision): void {
    this.#records.get(decision.moveId)?.applyDecision(decision);
  }

  /** Removes a finished move and its usage counters. */
  remove(moveId: string): void {
    const recordOutcome = this.#records.get(moveId);
    if (!recordOutcome?.isOver) return;
    this.#records.delete(moveId);
    this.#usage.delete(moveId);
  }

  /** Chooses the version for one request of a service; `undefined` if the service has no active move. */
  chooseVersion(service: string): string | undefined {
    const recordOutcome = this.#activeRecord(service);
    if (!recordOutcome) return undefined;
    const { move } = recordOutcome;
    const now = this.#clock.wall();
    const plan = recordOutcome.plan(now);
    const { maxRequests } = plan;
    const usage = this.#usage.get(move.id) ?? NO_USAGE;
    const nodeIds = this.#nodeIds();
    const allowance = allowanceOf({ moveId: move.id, nodeId: this.#nodeId, nodeIds, maxRequests });
    const version = chooseVersion({ move, plan, random: this.#random, allowance, now, ...usage });
    const isNew = version === move.toVersion ? 1 : 0;
    this.#usage.set(move.id, {
      routed: usage.routed + 1,
      started: usage.started + isNew,
      inFlight: usage.inFlight + isNew,
    });
    return version;
  }

  /** Records the outcome of a request whose version was selected by {@link chooseVersion}. */
  recordOutcome(outcome: Outcome): void {
    this.#recorder.record(outcome);
    const recordOutcome = this.#activeRecord(outcome.service);
    if (recordOutcome?.move.toVersion !== outcome.version) return;
    const usage = this.#usage.get(recordOutcome.move.id) ?? NO_USAGE;
    const inFlight = Math.max(0, usage.inFlight - 1);
    this.#usage.set(recordOutcome.move.id, { ...usage, inFlight });
  }

  /** Evidence of this node for the active moves; published in its report. */
  get evidence(): Evidence {
    const activeRecords = [...this.#records.values()].filter(({ isOver }) => !isOver);
    return this.#recorder.evidenceOf(new Set(activeRecords.map(({ move }) => move.service)));
  }

  /** Marks by this and other nodes that a version must be rolled back; published in the report of this node. */
  get marks(): readonly BadMark[] {
    return [...this.#records.values()]
      .filter(({ isOver }) => !isOver)
      .flatMap(({ marks }) => marks);
  }

  /** Merges the marks received from other nodes. */
  mergeMarks(marks: readonly BadMark[]): void {
    for (const mark of marks) {
      const recordOutcome = this.#records.get(mark.moveId);
      if (recordOutcome) recordOutcome.addMark(mark);
      else this.#bufferMark(mark);
    }
  }

  /**
   * Evaluates every move on the evidence of this and the other nodes.
   * @returns the new marks of this node, which must be published with urgency
   */
  evaluate(othersEvidence: readonly Evidence[]): readonly BadMark[] {
    const combined = sumEvidence([this.evidence, ...othersEvidence]);
    const now = this.#clock.wall();
    return [...this.#records.values()].flatMap(
      (recordOutcome) => recordOutcome.evaluate(combined, this.#nodeId, now) ?? [],
    );
  }

  /** Decisions that this node has to write to the log. */
  get pendingDecisions(): readonly MoveDecision[] {
    return this.statuses.flatMap(({ pendingWord }) => pendingWord ?? []);
  }

  get statuses(): readonly MoveStatus[] {
    const now = this.#clock.wall();
    return [...this.#records.values()].map((recordOutcome) => recordOutcome.status(now));
  }

  #activeRecord(service: string): MoveRecord | undefined {
    return [...this.#records.values()].find(
      (recordOutcome) => recordOutcome.move.service === service && !recordOutcome.isOver,
    );
  }

  #bufferMark(mark: BadMark): void {
    const buffered = this.#bufferedMarks.get(mark.moveId) ?? [];
    if (buffered.some(({ nodeId }) => nodeId === mark.nodeId)) return;
    this.#bufferedMarks.set(mark.moveId, [...buffered, mark]);
    if (this.#bufferedMarks.size <= MAX_BUFFERED_MOVES) return;
    const [oldest] = this.#bufferedMarks.keys();
    if (oldest !== undefined) this.#bufferedMarks.delete(oldest);
  }
}
