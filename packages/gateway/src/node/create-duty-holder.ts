import type { RunnerDirectory, Service } from '@ragwortrudder/catalog';
import type { Clock } from '@ragwortrudder/core';
import type { EvacuatedDomains } from '@ragwortrudder/routing';
import type { KeyedLog } from '@ragwortrudder/log';
import type { CatalogCodec } from '../types/catalog-codec.ts';
import type { CloudApi } from '../types/cloud-api.ts';
import type { GatewaySettings } from '../types/gateway-settings.ts';
import type { PeerEntry } from '../types/peer-entry.ts';
import type { TermView } from '../types/term-view.ts';
import type { DemandMeter } from '../utils/demand-meter.ts';
import type { DisciplinedClock } from '../utils/disciplined-clock.ts';
import type { RunnerLoadTracker } from '../utils/runner-load-tracker.ts';
import type { UsageCounter } from '../utils/usage-counter.ts';
import type { DecisionLog } from './decision-log.ts';
import { DutyHolder } from './duty-holder.ts';
import { DutyTermStore } from './duty-term-store.ts';
import type { Peers } from './peers.ts';
import { RolloutDuty } from './rollout-duty.ts';
import { RolloutStatusWriter } from './rollout-status-writer.ts';
import type { Rollouts } from './rollouts.ts';
import { SupplyDuty } from './supply-duty.ts';
import { UsageDuty } from './usage-duty.ts';

interface CreateDutyHolderOptions {
  readonly settings: GatewaySettings;
  /** Where peers reach this node. */
  readonly entry: PeerEntry;
  readonly log: KeyedLog;
  readonly cloud: CloudApi | undefined;
  readonly clock: Clock;
  readonly codec: CatalogCodec;
  readonly peers: Peers;
  readonly usage: UsageCounter;
  readonly demand: DemandMeter;
  readonly directory: RunnerDirectory;
  readonly evacuated: EvacuatedDomains;
  readonly loadTracker: RunnerLoadTracker;
  readonly rollouts: Rollouts;
  readonly disciplinedClock: DisciplinedClock;
  readonly decisions: DecisionLog;
  readonly prefillMsPerToken: (service: string) => number;
  readonly services: () => readonly Service[];
  readonly isStopping: () => boolean;
  /** Called when the topic of duties shows an active holder that no peer tells of. */
  readonly onUnheardHolder: (term: TermView) => void;
}

/** Creates the holder of the duties that the settings give to nodes; undefined where there are none. */
export function createDutyHolder(options: CreateDutyHolderOptions): DutyHolder | undefined {
  const { settings, log, cloud, clock, codec, peers, decisions, rollouts, directory } = options;
  const { loadTracker, disciplinedClock } = options;
  const { node, duties } = settings;
  if (!cloud) return undefined;
  const usage = new UsageDuty({
    cloud,
    usage: options.usage,
    peers,
    disciplinedClock,
    log: decisions,
    windowMs: duties.usageWindowMs,
    lateMs: duties.usageLateMs,
  });
  const supply = new SupplyDuty({
    cloud,
    directory,
    evacuated: options.evacuated,
    demand: options.demand,
    hearsAllNodes: () => peers.reachableCount >= peers.knownCount,
    clock,
    log: decisions,
    prefillMsPerToken: options.prefillMsPerToken,
    services: options.services,
  });
  const statusWriter = new RolloutStatusWriter({ log, codec });
  const rollout = new RolloutDuty({
    rollouts,
    directory,
    loadTracker,
    disciplinedClock,
    era: () => log.era,
    report: (status) => statusWriter.write(status),
  });
  return new DutyHolder({
    node: node.id,
    termStore: new DutyTermStore({
      log,
      node: node.id,
      entry: options.entry,
      clock,
      leaseMs: duties.leaseMs,
      decisions,
    }),
    peers,
    clock,
    log: decisions,
    duties: [
      rollout,
      ...(duties.reportsUsage ? [usage] : []),
      ...(duties.ordersRunners ? [supply] : []),
    ],
    leaseMs: duties.leaseMs,
    isStopping: options.isStopping,
    onUnheardHolder: options.onUnheardHolder,
  });
}
