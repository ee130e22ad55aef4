import type { RolloutOrder, RunnerDirectory } from '@ragwortrudder/catalog';
import { SequentialScores, versionVerdict } from '@ragwortrudder/moves';
import type { Duty } from '../types/duty.ts';
import { RolloutState } from '../types/rollout-state.ts';
import type { RolloutStatus } from '../types/rollout-status.ts';
import { isSameOrder } from '../utils/is-same-order.ts';
import { planRollout } from '../utils/plan-rollout.ts';
import { rejectedAfter } from '../utils/rejected-after.ts';
import type { RunnerLoadTracker } from '../utils/runner-load-tracker.ts';
import type { DutyTermStore } from './duty-term-store.ts';
import { Rollouts } from './rollouts.ts';

interface RolloutDutyOptions {
  readonly rollouts: Rollouts;
  readonly directory: RunnerDirectory;
  readonly loadTracker: Pick<RunnerLoadTracker, 'workAt'>;
  readonly disciplinedClock: { now(): number };
  /** Era of the log, in which the reports to the operator are lost when it is restored. */
  readonly era: () => number;
  /** Tells the operator the state of a roll-out. */
  readonly report: (status: RolloutStatus) => Promise<void>;
}

/** Time before the limit at which a roll-out is completed although requests run at old runners, in milliseconds. */
const LIMIT_MARGIN_MS = 1_000;
/** Time within which every node in touch has read that the target takes over, in milliseconds. */
const TAKE_OVER_MS = 1_500;
const STATUS: Readonly<Record<RolloutState['phase'], RolloutStatus['state']>> = {
  moving: 'running',
  'taking-over': 'running',
  completed: 'completed',
  'rolled-back': 'rolled-back',
};

/** Decides the roll-outs: how much the target version gets, and whether it is kept or taken back. */
export class RolloutDuty implements Duty {
  readonly #options: RolloutDutyOptions;
  /** Scores of the roll-out that started at `startedAt`, by service. */
  readonly #scores = new Map<
    string,
    { readonly startedAt: number; readonly scores: SequentialScores }
  >();
  readonly #reported = new Map<string, string>();

  constructor(options: RolloutDutyOptions) {
    this.#options = options;
  }

  begin(): void {
    this.#scores.clear();
    this.#reported.clear();
  }

  async perform(termStore: DutyTermStore): Promise<void> {
    for (const order of this.#options.rollouts.orders) await this.#advance(order, termStore);
  }

  async #advance(order: RolloutOrder, termStore: DutyTermStore): Promise<void> {
    const key = Rollouts.keyOf(order.service);
    const { data: recorded } = RolloutState.safeParse(termStore.records.get(key));
    const followed = this.#options.rollouts.stateOf(order.service);
    // A restored log may have an older state than the one that this node follows.
    const known = [recorded, followed]
      .filter((state) => state !== undefined)
      .filter((state) => isSameOrder(state, order))
      .toSorted((a, b) => b.sequence - a.sequence)[0];
    const isOver = known?.phase === 'completed' || known?.phase === 'rolled-back';
    if (!isOver) {
      const next = known ? this.#next(known) : this.#first(order, recorded);
      if (!next) return;
      if (!(await termStore.record(key, next))) return;
      this.#options.rollouts.applyState(next);
      await this.#report(next);
      return;
    }
    // A restored log may lack the end of the roll-out, which a successor that starts anew has only from there.
    if (recorded?.sequence !== known.sequence && !(await termStore.record(key, known))) return;
    this.#options.rollouts.applyState(known);
    await this.#report(known);
  }

  /** Starts a roll-out once runners are known. Without another version there is nothing to move. */
  #first(order: RolloutOrder, previous: RolloutState | undefined): RolloutState | undefined {
    const { directory, disciplinedClock } = this.#options;
    const rejected = rejectedAfter(previous, order.targetVersion);
    const runners = directory.ofService(order.service);
    const old = runners.find(
      ({ version }) => version !== order.targetVersion && !rejected.includes(version),
    );
    if (runners.length === 0) return undefined;
    const startedAt = Math.round(disciplinedClock.now());
    return {
      ...order,
      fromVersion: old?.version ?? order.targetVersion,
      rejected,
      startedAt,
      phaseSince: startedAt,
      share: old ? 0 : 1,
      phase: old ? 'moving' : 'completed',
      reason: 'ordered',
      sequence: (previous?.sequence ?? 0) + 1,
    };
  }

  #next(state: RolloutState): RolloutState {
    const sequence = state.sequence + 1;
    if (state.phase === 'taking-over') {
      const phase = this.#mayComplete(state) ? 'completed' : state.phase;
      return { ...state, phase, sequence };
    }
    const { share, decision, reason } = this.#plan(state);
    const phase =
      decision === 'complete'
        ? 'taking-over'
        : decision === 'roll-back'
          ? 'rolled-back'
          : state.phase;
    const phaseSince =
      phase === state.phase ? state.phaseSince : Math.round(this.#options.disciplinedClock.now());
    return { ...state, share, phase, phaseSince, reason, sequence };
  }

  #plan(state: RolloutState): ReturnType<typeof planRollout> {
    const { rollouts, disciplinedClock } = this.#options;
    const evidence = rollouts.totalEvidence;
    const pair = { ...state, toVersion: state.targetVersion };
    const known = this.#scores.get(state.service);
    const isOfRollout = known?.startedAt === state.startedAt;
    const scores = (isOfRollout ? known.scores : new SequentialScores(pair)).advance(evidence);
    this.#scores.set(state.service, { startedAt: state.startedAt, scores });
    return planRollout({
      elapsed: (disciplinedClock.now() - state.startedAt) / state.durationMs,
      verdict: versionVerdict({ pair, evidence, scores }),
    });
  }

  /** Old runners stop when the roll-out is completed, so their requests are awaited while there is time. */
  #mayComplete(state: RolloutState): boolean {
    const { service, targetVersion, startedAt, durationMs, phaseSince } = state;
    const { directory, loadTracker, disciplinedClock } = this.#options;
    const now = disciplinedClock.now();
    if (now >= startedAt + durationMs - LIMIT_MARGIN_MS) return true;
    if (now < phaseSince + TAKE_OVER_MS) return false;
    return directory
      .ofService(service)
      .filter(({ version }) => version !== targetVersion)
      .every(({ id }) => loadTracker.workAt(id).requests === 0);
  }

  async #report({ service, targetVersion, phase }: RolloutState): Promise<void> {
    const state = STATUS[phase];
    const text = `${this.#options.era()} ${targetVersion} ${state}`;
    if (this.#reported.get(service) === text) return;
    await this.#options.report({ service, targetVersion, state });
    this.#reported.set(service, text);
  }
}
