import { BrittleRunners, StatedLimits } from '@ragwortrudder/admission';
import type { Clock } from '@ragwortrudder/core';
import { rendezvousOrder, RunnerSpeeds } from '@ragwortrudder/routing';
import type { DecisionLog } from './decision-log.ts';
import type { GatewayMetrics } from './gateway-metrics.ts';

interface RunnerBoundsOptions {
  readonly clock: Clock;
  readonly node: string;
  readonly log: Pick<DecisionLog, 'notable'>;
  readonly metrics: Pick<GatewayMetrics, 'count'>;
  /** Called when peers should know of a change at once. */
  readonly onChange: () => void;
}

interface KnownNodes {
  /** Nodes that are heard, including this one. */
  readonly reachable: readonly string[];
  readonly knownCount: number;
  /** This node has read which nodes there are, and they can know of it. */
  readonly isRegistered: boolean;
}

/** Time in which a node that has started knows the others, and they it, in milliseconds. */
const SETTLED_MS = 2_000;

/** What runners state of themselves or show in their responses, and all nodes together use. */
export class RunnerBounds {
  readonly limits: StatedLimits;
  readonly brittle: BrittleRunners;
  readonly speeds: RunnerSpeeds;
  readonly #clock: Clock;
  readonly #startedAt: number;
  readonly #log: RunnerBoundsOptions['log'];
  readonly #metrics: RunnerBoundsOptions['metrics'];

  constructor({ clock, node, log, metrics, onChange }: RunnerBoundsOptions) {
    const rank = (runner: string, nodes: readonly string[]): readonly string[] =>
      rendezvousOrder(runner, nodes, (item) => item);
    this.#clock = clock;
    this.#startedAt = clock.monotonic();
    this.#log = log;
    this.#metrics = metrics;
    this.speeds = new RunnerSpeeds({ clock });
    this.limits = new StatedLimits({ clock, node, rank });
    this.brittle = new BrittleRunners({ clock, node, rank, onChange });
  }

  /** What the choice of runners and the reports use. */
  get all(): Pick<RunnerBounds, 'limits' | 'brittle' | 'speeds'> {
    const { limits, brittle, speeds } = this;
    return { limits, brittle, speeds };
  }

  /** Sets the nodes that share the bounds, and logs what runners have stated since the last call. */
  update(nodes: KnownNodes): void {
    this.#noteSpeeds();
    this.limits.setNodes(nodes.reachable, nodes.knownCount);
    const upMs = this.#clock.monotonic() - this.#startedAt;
    this.brittle.setNodes({ ...nodes, isSettled: nodes.isRegistered && upMs >= SETTLED_MS });
    for (const { runner, perSecond, before } of this.limits.takeChanges()) {
      this.#log.notable('runner-limit-stated', {
        runner,
        requestsPerSecond: perSecond ?? 'none',
        before: before ?? 'none',
        nodes: nodes.reachable.length,
      });
    }
    for (const { runner, most, before } of this.brittle.takeChanges()) {
      this.#log.notable('runner-brittle-stated', {
        runner,
        rejectionsPerSecond: most ?? 'none',
        before: before ?? 'none',
        nodes: nodes.reachable.length,
      });
    }
  }

  #noteSpeeds(): void {
    for (const { runner, slowness, before, samples } of this.speeds.takeChanges()) {
      this.#metrics.count('runner_speed_changes');
      this.#log.notable('runner-speed', {
        runner,
        slowness: Number(slowness.toFixed(2)),
        before: Number(before.toFixed(2)),
        samples: Math.round(samples),
      });
    }
    for (const source of this.speeds.takeRejected()) {
      this.#metrics.count('runner_speeds_rejected');
      this.#log.notable('runner-speeds-rejected', { source });
    }
  }
}
