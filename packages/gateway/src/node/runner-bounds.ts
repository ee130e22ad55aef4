import { BrittleRunners, SharingNodes, StatedLimits } from '@ragwortrudder/admission';
import type { RunnerEntry } from '@ragwortrudder/catalog';
import type { Clock } from '@ragwortrudder/core';
import { rendezvousOrder, RunnerSpeeds } from '@ragwortrudder/routing';
import type { GatewaySettings } from '../types/gateway-settings.ts';
import { incarnationOf } from '../utils/incarnation-of.ts';
import type { DecisionLog } from './decision-log.ts';
import type { GatewayMetrics } from './gateway-metrics.ts';
import type { Peers } from './peers.ts';

interface RunnerBoundsOptions {
  readonly clock: Clock;
  readonly node: string;
  readonly log: Pick<DecisionLog, 'notable' | 'rejected'>;
  readonly metrics: Pick<GatewayMetrics, 'count'>;
  readonly settings: () => Pick<GatewaySettings, 'coldRunners' | 'domainRegions'>;
  /** Called when peers should know of a change at once. */
  readonly onChange: () => void;
}

/** Time in which a node that has started knows the others, and they it, in milliseconds. */
const SETTLED_MS = 2_000;

/** Without these settings, a cold runner gets no more than its service's limit. */
const DEFAULT_COLD_BOUND = { overage: 1, slack: 0 } as const;

/** What runners state of themselves or show in their responses, and all nodes together use. */
export class RunnerBounds {
  readonly limits: StatedLimits;
  readonly brittle: BrittleRunners;
  readonly speeds: RunnerSpeeds;
  readonly #options: RunnerBoundsOptions;
  readonly #startedAt: number;
  readonly #sharing: SharingNodes;

  constructor(options: RunnerBoundsOptions) {
    const { clock, node, onChange } = options;
    const rank = (runner: string, nodes: readonly string[]): readonly string[] =>
      rendezvousOrder(runner, nodes, (item) => item);
    this.#options = options;
    this.#startedAt = clock.monotonic();
    this.#sharing = new SharingNodes(clock);
    this.speeds = new RunnerSpeeds({ clock });
    this.limits = new StatedLimits({ clock, node, rank });
    this.brittle = new BrittleRunners({ clock, node, rank, onChange });
  }

  /** What the choice of runners and the reports use. */
  get all(): Pick<RunnerBounds, 'limits' | 'brittle' | 'speeds'> {
    const { limits, brittle, speeds } = this;
    return { limits, brittle, speeds };
  }

  /** Records an entry of the list that was read now. */
  recordEntry(entry: RunnerEntry): void {
    const { settings, log } = this.#options;
    const { domainRegions } = settings();
    if (domainRegions && !Object.hasOwn(domainRegions, entry.failureDomain)) {
      log.rejected({
        topic: 'domainRegions',
        key: entry.failureDomain,
        cause: 'the region is not known',
      });
    }
    this.limits.cold.recordEntry(incarnationOf(entry), entry.service, entry.coldMs);
  }

  /**
   * Sets the nodes that share the bounds, and logs what runners have stated since the last call. The node
   * is registered when it has read which nodes there are, and they can know of it.
   */
  update(peers: Pick<Peers, 'reachableIds' | 'knownIds'>, isRegistered: boolean): void {
    const { clock, node, settings } = this.#options;
    const reachable = [node, ...peers.reachableIds()];
    const known = [node, ...peers.knownIds()];
    this.#noteSpeeds();
    this.limits.setNodes(reachable, known.length);
    const isSettled = isRegistered && clock.monotonic() - this.#startedAt >= SETTLED_MS;
    this.brittle.setNodes({ reachable, knownCount: known.length, isSettled });
    this.#sharing.update({ reachable, known, isRegistered });
    const bound = { ...DEFAULT_COLD_BOUND, ...settings().coldRunners };
    this.limits.setColdSharing({
      nodes: this.#sharing.ids,
      isSettled: isSettled && this.#sharing.hasHeardMost,
      bound,
    });
    this.#logChanges(reachable.length);
  }

  #logChanges(nodes: number): void {
    const { log, metrics } = this.#options;
    for (const { runner, perSecond, before } of this.limits.takeChanges()) {
      log.notable('runner-limit-stated', {
        runner,
        requestsPerSecond: perSecond ?? 'none',
        before: before ?? 'none',
        nodes,
      });
    }
    for (const { runner, most, before } of this.brittle.takeChanges()) {
      log.notable('runner-brittle-stated', {
        runner,
        rejectionsPerSecond: most ?? 'none',
        before: before ?? 'none',
        nodes,
      });
    }
    for (const { runner, service, remainingMs, perSecond } of this.limits.cold.takeChanges()) {
      const isCold = remainingMs > 0;
      metrics.count(isCold ? 'cold_periods_begun' : 'cold_periods_ended', { service });
      log.notable(isCold ? 'runner-cold' : 'runner-warm', {
        runner,
        service,
        requestsPerSecond: isCold ? perSecond : 'none',
        remainingMs: Math.round(remainingMs),
        nodes: this.#sharing.ids.length,
      });
    }
  }

  #noteSpeeds(): void {
    for (const { runner, slowness, before, samples } of this.speeds.takeChanges()) {
      this.#options.metrics.count('runner_speed_changes');
      this.#options.log.notable('runner-speed', {
        runner,
        slowness: Number(slowness.toFixed(2)),
        before: Number(before.toFixed(2)),
        samples: Math.round(samples),
      });
    }
    for (const source of this.speeds.takeRejected()) {
      this.#options.metrics.count('runner_speeds_rejected');
      this.#options.log.notable('runner-speeds-rejected', { source });
    }
  }
}
