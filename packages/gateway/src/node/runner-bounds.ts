import { BrittleRunners, StatedLimits } from '@ragwortrudder/admission';
import type { Clock } from '@ragwortrudder/core';
import { rendezvousOrder } from '@ragwortrudder/routing';
import type { DecisionLog } from './decision-log.ts';

interface RunnerBoundsOptions {
  readonly clock: Clock;
  readonly node: string;
  readonly log: Pick<DecisionLog, 'notable'>;
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

/** Bounds that runners state in their responses, and that hold for all nodes together. */
export class RunnerBounds {
  readonly limits: StatedLimits;
  readonly brittle: BrittleRunners;
  readonly #clock: Clock;
  readonly #startedAt: number;
  readonly #log: RunnerBoundsOptions['log'];

  constructor({ clock, node, log, onChange }: RunnerBoundsOptions) {
    const rank = (runner: string, nodes: readonly string[]): readonly string[] =>
      rendezvousOrder(runner, nodes, (item) => item);
    this.#clock = clock;
    this.#startedAt = clock.monotonic();
    this.#log = log;
    this.limits = new StatedLimits({ clock, node, rank });
    this.brittle = new BrittleRunners({ clock, node, rank, onChange });
  }

  /** Sets the nodes that share the bounds, and logs what runners have stated since the last call. */
  update(nodes: KnownNodes): void {
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
}
