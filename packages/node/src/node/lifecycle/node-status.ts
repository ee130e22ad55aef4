import { inject, injectable } from 'inversify';
import type { Clock } from '@ragwortrudder/core';
import type { Settings } from '@ragwortrudder/settings';
import { tokens } from '../../types/tokens.ts';
import type { LiveIncarnation } from './live-incarnation.ts';
import { TicketStore } from '../configuration/ticket-store.ts';
import { LeaseManager } from '../leases/lease-manager.ts';
import { Metrics } from '../metrics/metrics.ts';
import { VersionMoves } from '../moves/version-moves.ts';
import { PeerDirectory } from '../peers/peer-directory.ts';
import { KeyedRequests } from '../requests/keyed-requests.ts';
import { ReplicaStore } from '../requests/replica-store.ts';
import { RequestRegistry } from '../requests/request-registry.ts';
import { ServiceGates } from '../requests/service-gates.ts';
import { RunnerPool } from '../runners/runner-pool.ts';
import { SupplyJobs } from '../supply/supply-jobs.ts';
import { NodeLifecycle } from './node-lifecycle.ts';

/** Status of this node for operators. */
@injectable()
export class NodeStatus {
  readonly #settings: Settings;
  readonly #incarnation: LiveIncarnation;
  readonly #clock: Clock;
  readonly #lifecycle: NodeLifecycle;
  readonly #tickets: TicketStore;
  readonly #peers: PeerDirectory;
  readonly #pool: RunnerPool;
  readonly #moves: VersionMoves;
  readonly #requestRegistry: RequestRegistry;
  readonly #replicas: ReplicaStore;
  readonly #gates: ServiceGates;
  readonly #keyed: KeyedRequests;
  readonly #leases: LeaseManager;
  readonly #supply: SupplyJobs;
  readonly #metrics: Metrics;

  constructor(
    @inject(tokens.settings) settings: Settings,
    @inject(tokens.incarnation) incarnation: LiveIncarnation,
    @inject(tokens.clock) clock: Clock,
    @inject(NodeLifecycle) lifecycle: NodeLifecycle,
    @inject(TicketStore) tickets: TicketStore,
    @inject(PeerDirectory) peers: PeerDirectory,
    @inject(RunnerPool) pool: RunnerPool,
    @inject(VersionMoves) moves: VersionMoves,
    @inject(RequestRegistry) requestRegistry: RequestRegistry,
    @inject(ReplicaStore) replicas: ReplicaStore,
    @inject(ServiceGates) gates: ServiceGates,
    @inject(KeyedRequests) keyed: KeyedRequests,
    @inject(LeaseManager) leases: LeaseManager,
    @inject(SupplyJobs) supply: SupplyJobs,
    @inject(Metrics) metrics: Metrics,
  ) {
    this.#settings = settings;
    this.#incarnation = incarnation;
    this.#clock = clock;
    this.#lifecycle = lifecycle;
    this.#tickets = tickets;
    this.#peers = peers;
    this.#pool = pool;
    this.#moves = moves;
    this.#requestRegistry = requestRegistry;
    this.#replicas = replicas;
    this.#gates = gates;
    this.#keyed = keyed;
    this.#leases = leases;
    this.#supply = supply;
    this.#metrics = metrics;
  }

  /** Collects the status. It contains no API keys. */
  async read(): Promise<unknown> {
    const { id, failureDomain, region } = this.#settings.node;
    const { lagMs, logReachable, applied, state } = this.#tickets;
    return {
      node: {
        id,
        failureDomain,
        region,
        incarnation: this.#incarnation.current.number,
        state: this.#lifecycle.state,
      },
      log: {
        reachable: logReachable,
        lagMs: Number.isFinite(lagMs) ? Math.round(lagMs) : null,
        next: applied.next,
        newestTicket: state.newest,
      },
      services: state.services,
      domains: this.#peers.domains(),
      members: this.#peers.members.map(
        ({ nodeId, incarnation, failureDomain: domain, state: memberState, callerAddress }) => ({
          nodeId,
          incarnation,
          failureDomain: domain,
          state: memberState,
          callerAddress,
        }),
      ),
      runners: this.#runners(),
      moves: this.#moves.statuses,
      requests: {
        open: this.#requestRegistry.open,
        queued: this.#gates.queued,
        replicas: this.#replicas.size,
        unwrittenOutcomes: this.#keyed.pendingOutcomeCount,
      },
      leases: this.#leases.statuses,
      supply: this.#supply.statuses,
      refusals: await this.#metrics.totalsByLabel('refusals', 'code'),
    };
  }

  #runners(): readonly unknown[] {
    const now = this.#clock.monotonic();
    return this.#pool.runners.map((runner) => {
      const { id, service, version, state, setAside, loadAgeMs, inFlight, failureDomain } =
        this.#pool.view(runner, now);
      return {
        id,
        service,
        version,
        failureDomain,
        state,
        setAside,
        loadAgeMs: Number.isFinite(loadAgeMs) ? Math.round(loadAgeMs) : null,
        inFlight: inFlight.requests,
        limit: runner.limit.limit,
      };
    });
  }
}
