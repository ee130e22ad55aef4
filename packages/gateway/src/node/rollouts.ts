import type { RolloutOrder, RunnerEntry } from '@ragwortrudder/catalog';
import type { Clock, Random } from '@ragwortrudder/core';
import { EvidenceRecorder, sumEvidence } from '@ragwortrudder/moves';
import type { Evidence, Outcome } from '@ragwortrudder/moves';
import { RolloutState } from '../types/rollout-state.ts';
import { isSameOrder } from '../utils/is-same-order.ts';
import { rejectedAfter } from '../utils/rejected-after.ts';
import { schemaProblem } from '../utils/schema-problem.ts';
import type { DecisionLog } from './decision-log.ts';

interface RolloutsOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: DecisionLog;
}

type RunnerOutcome = Pick<Outcome, 'route' | 'load' | 'kind' | 'latencyRatio'>;

interface FollowedRollout {
  readonly order: RolloutOrder;
  /** Versions that get no requests, whatever becomes of this order. */
  readonly rejected: ReadonlySet<string>;
  readonly state: RolloutState | undefined;
  /** Earlier orders, which a restored log may show again. */
  readonly replaced: readonly RolloutOrder[];
  /** Monotonic time at which `state` was last renewed, in milliseconds. */
  readonly renewedAt: number;
}

/** Age of a state that is still moving, in milliseconds, from which the target gets no requests. */
const MAX_STATE_AGE_MS = 3_500;
/** Earlier orders of a service that are remembered. */
const MAX_REPLACED_ORDERS = 16;
const KEY_PREFIX = 'rollout-';

/**
 * Roll-outs as followed by one node: which version a request goes to, and how the versions' answers
 * turned out. The target gets requests only while the duty holder renews the state.
 */
export class Rollouts {
  readonly #options: RolloutsOptions;
  readonly #followed = new Map<string, FollowedRollout>();
  readonly #recorder = new EvidenceRecorder();
  readonly #peerEvidence = new Map<string, Evidence>();

  constructor(options: RolloutsOptions) {
    this.#options = options;
  }

  static isKey(key: string): boolean {
    return key.startsWith(KEY_PREFIX);
  }

  /** Key under which the duty holder records the state of a service's roll-out. */
  static keyOf(service: string): string {
    return `${KEY_PREFIX}${service}`;
  }

  get orders(): readonly RolloutOrder[] {
    return [...this.#followed.values()].map(({ order }) => order);
  }

  /** True while a roll-out has no final state that this node knows. */
  get isFollowing(): boolean {
    return [...this.#followed.values()].some(
      ({ state }) => state?.phase !== 'completed' && state?.phase !== 'rolled-back',
    );
  }

  /** Evidence of this node about services with an undecided roll-out. */
  get evidence(): Evidence {
    const services = [...this.#followed.values()].filter(
      ({ state }) => state === undefined || state.phase === 'moving',
    );
    return this.#recorder.evidenceOf(new Set(services.map(({ order }) => order.service)));
  }

  /** Evidence of this node and its peers. */
  get totalEvidence(): Evidence {
    return sumEvidence([this.evidence, ...this.#peerEvidence.values()]);
  }

  /** State of a service's roll-out that this node follows. */
  stateOf(service: string): RolloutState | undefined {
    return this.#followed.get(service)?.state;
  }

  /**
   * Applies an order of the operator. One that is already followed changes nothing, nor does one from
   * a restored log that has been replaced since.
   */
  applyOrder(order: RolloutOrder, isRestored = false): void {
    const previous = this.#followed.get(order.service);
    if (previous && isSameOrder(previous.order, order)) return;
    const replaced = previous?.replaced ?? [];
    if (isRestored && replaced.some((earlier) => isSameOrder(earlier, order))) return;
    const { targetVersion } = order;
    const rejected = new Set(
      rejectedAfter(
        previous && {
          rejected: previous.rejected,
          targetVersion: previous.order.targetVersion,
          phase: previous.state?.phase,
        },
        targetVersion,
      ),
    );
    this.#recorder.forget(order.service, targetVersion);
    this.#followed.set(order.service, {
      order,
      rejected,
      state: undefined,
      replaced: previous ? [...replaced, previous.order].slice(-MAX_REPLACED_ORDERS) : [],
      renewedAt: -Infinity,
    });
    this.#options.log.notable('rollout-ordered', { ...order });
  }

  /** Applies the state that the duty holder recorded. */
  applyState(value: unknown): void {
    if (value === undefined) return;
    const { data: state, error } = RolloutState.safeParse(value);
    if (!state) {
      const rejected = { topic: 'duties', key: KEY_PREFIX, cause: schemaProblem(error) };
      this.#options.log.rejected(rejected);
      return;
    }
    const followed = this.#followed.get(state.service);
    if (!followed || !isSameOrder(state, followed.order)) return;
    const known = followed.state;
    if (known?.startedAt === state.startedAt && state.sequence <= known.sequence) return;
    const renewedAt = this.#options.clock.monotonic();
    const rejected = new Set([...followed.rejected, ...state.rejected]);
    this.#followed.set(state.service, { ...followed, rejected, state, renewedAt });
    if (known?.phase === state.phase && known.share === state.share) return;
    const { service, targetVersion, share, phase, reason } = state;
    this.#options.log.notable('rollout-changed', { service, targetVersion, share, phase, reason });
  }

  /** Replaces the evidence of a peer's incarnation. */
  setPeerEvidence(incarnation: string, evidence: Evidence | undefined): void {
    if (evidence === undefined) this.#peerEvidence.delete(incarnation);
    else this.#peerEvidence.set(incarnation, evidence);
  }

  /** Draws whether a request of the service goes to the target version. */
  drawTarget(service: string): boolean {
    const share = this.#shareOf(service);
    return share > 0 && this.#options.random.next() < share;
  }

  /** Whether a runner may get a request, given the draw for that request. */
  accepts({ service, version }: RunnerEntry, isTarget: boolean): boolean {
    const followed = this.#followed.get(service);
    if (!followed) return true;
    if (followed.rejected.has(version)) return false;
    if (followed.state?.phase === 'completed') return true;
    return (version === followed.order.targetVersion) === isTarget;
  }

  /** Records how a request turned out at a runner. */
  recordOutcome({ service, version }: RunnerEntry, outcome: RunnerOutcome): void {
    const followed = this.#followed.get(service);
    if (followed?.state?.phase !== 'moving') return;
    const { targetVersion, fromVersion } = followed.state;
    const compared = version === targetVersion ? targetVersion : fromVersion;
    this.#recorder.record({ ...outcome, service, version: compared });
  }

  #shareOf(service: string): number {
    const followed = this.#followed.get(service);
    if (!followed?.state) return 0;
    const { state, renewedAt } = followed;
    if (state.phase !== 'moving') return state.share;
    const ageMs = this.#options.clock.monotonic() - renewedAt;
    return ageMs < MAX_STATE_AGE_MS ? state.share : 0;
  }
}
