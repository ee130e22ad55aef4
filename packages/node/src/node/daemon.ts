import { inject, injectable } from 'inversify';
import { PeriodicTask } from '@ragwortrudder/core';
import type { Clock, Closeable } from '@ragwortrudder/core';
import type { Settings } from '@ragwortrudder/settings';
import { tokens } from '../types/tokens.ts';
import { CallerServer } from './callers/caller-server.ts';
import { RequestRoutes } from './callers/request-routes.ts';
import { ClaimStore } from './configuration/claim-store.ts';
import { TicketStore } from './configuration/ticket-store.ts';
import { LeaseManager } from './leases/lease-manager.ts';
import { Metrics } from './metrics/metrics.ts';
import { runInBackground } from './metrics/run-in-background.ts';
import { VersionMoves } from './moves/version-moves.ts';
import { PeerClient } from './peers/peer-client.ts';
import { PeerDirectory } from './peers/peer-directory.ts';
import { PeerServer } from './peers/peer-server.ts';
import { ReportPublisher } from './reports/report-publisher.ts';
import { GracefulShutdown } from './requests/graceful-shutdown.ts';
import { KeyedRequests } from './requests/keyed-requests.ts';
import { ReplicaStore } from './requests/replica-store.ts';
import { RequestRegistry } from './requests/request-registry.ts';
import { ServiceGates } from './requests/service-gates.ts';
import { Takeover } from './requests/takeover.ts';
import { ApplicationClient } from './runners/application-client.ts';
import { ModelClient } from './runners/model-client.ts';
import { ReclaimNoticeWatcher } from './runners/reclaim-notice-watcher.ts';
import { RunnerClient } from './runners/runner-client.ts';
import { RunnerPool } from './runners/runner-pool.ts';
import { EngineClient } from './supply/engine-client.ts';
import { SupplyJobs } from './supply/supply-jobs.ts';

const CHECK_PERIOD_MS = 50;
const TAKEOVER_PERIOD_MS = 250;
const SWEEP_PERIOD_MS = 5000;
/** Time reserved before a reclaim; a graceful stop must end this much earlier. */
const RECLAIM_MARGIN_MS = 500;

/** One node: starts its components in order and stops them in reverse order. */
@injectable()
export class Daemon implements Closeable {
  readonly #settings: Settings;
  readonly #clock: Clock;
  readonly #components: readonly (Closeable & { start(): void })[];
  readonly #clients: readonly Closeable[];
  readonly #callers: CallerServer;
  readonly #peerServer: PeerServer;
  readonly #peers: PeerDirectory;
  readonly #gracefulShutdown: GracefulShutdown;
  readonly #routes: RequestRoutes;
  readonly #reports: ReportPublisher;
  readonly #tasks: readonly PeriodicTask[];
  #stopping: Promise<void> | undefined;

  constructor(
    @inject(tokens.settings) settings: Settings,
    @inject(tokens.clock) clock: Clock,
    @inject(CallerServer) callers: CallerServer,
    @inject(RequestRoutes) routes: RequestRoutes,
    @inject(PeerServer) peerServer: PeerServer,
    @inject(PeerClient) peerClient: PeerClient,
    @inject(PeerDirectory) peers: PeerDirectory,
    @inject(TicketStore) tickets: TicketStore,
    @inject(ClaimStore) claims: ClaimStore,
    @inject(RunnerPool) pool: RunnerPool,
    @inject(ReclaimNoticeWatcher) notices: ReclaimNoticeWatcher,
    @inject(VersionMoves) moves: VersionMoves,
    @inject(ReportPublisher) reports: ReportPublisher,
    @inject(LeaseManager) leases: LeaseManager,
    @inject(SupplyJobs) supply: SupplyJobs,
    @inject(EngineClient) engines: EngineClient,
    @inject(GracefulShutdown) gracefulShutdown: GracefulShutdown,
    @inject(Takeover) takeover: Takeover,
    @inject(ServiceGates) gates: ServiceGates,
    @inject(KeyedRequests) keyedRequests: KeyedRequests,
    @inject(RequestRegistry) requestRegistry: RequestRegistry,
    @inject(ReplicaStore) replicas: ReplicaStore,
    @inject(ModelClient) models: ModelClient,
    @inject(ApplicationClient) applications: ApplicationClient,
    @inject(RunnerClient) runners: RunnerClient,
    @inject(Metrics) metrics: Metrics,
  ) {
    this.#settings = settings;
    this.#clock = clock;
    this.#callers = callers;
    this.#routes = routes;
    this.#peerServer = peerServer;
    this.#peers = peers;
    this.#gracefulShutdown = gracefulShutdown;
    this.#reports = reports;
    this.#components = [peers, tickets, claims, pool, notices, moves, reports, supply];
    this.#clients = [leases, peerClient, models, applications, runners, engines];
    const periodicTask = (periodMs: number, run: () => Promise<void> | void): PeriodicTask =>
      new PeriodicTask({
        periodMs,
        run,
        onFailure: () => {
          metrics.count('daemon_task_failures');
        },
      });
    this.#tasks = [
      periodicTask(CHECK_PERIOD_MS, () => {
        gates.check();
      }),
      periodicTask(TAKEOVER_PERIOD_MS, () => {
        takeover.check();
      }),
      periodicTask(SWEEP_PERIOD_MS, async () => {
        replicas.forget(requestRegistry.sweep());
        replicas.sweep();
        keyedRequests.executor.prune();
        await keyedRequests.writePendingOutcomes();
        await keyedRequests.forfeitInactiveClaims();
      }),
    ];
    const stopInBackground = (graceMs?: number): void => {
      runInBackground({ task: 'stop', metrics, promise: this.stop(graceMs) });
    };
    peers.subscribe(({ kind }) => {
      if (kind === 'replaced') stopInBackground();
    });
    notices.onOwnNotice((reclaimAt) => {
      stopInBackground(reclaimAt - this.#clock.wall() - RECLAIM_MARGIN_MS);
    });
    metrics.gauge(
      'requests_open',
      'Requests that this node must finish.',
      () => requestRegistry.open,
    );
    metrics.gauge('requests_queued', 'Requests that wait for a runner.', () => gates.queued);
  }

  /** Ports that the node listens on. */
  get ports(): { readonly callers: number; readonly peers: number } {
    return { callers: this.#callers.port, peers: this.#peerServer.port };
  }

  async start(): Promise<void> {
    await this.#peerServer.listen();
    await this.#callers.listen();
    for (const component of [...this.#components, ...this.#tasks]) component.start();
  }

  /**
   * Stops gracefully within `graceMs`, by default the grace period of the settings; further calls
   * wait for the first one.
   */
  async stop(graceMs = this.#settings.shutdown.graceMs): Promise<void> {
    this.#stopping ??= this.#shutDown(Math.max(0, graceMs));
    await this.#stopping;
  }

  /** Resolves once the node has stopped for any reason. */
  async stopped(): Promise<void> {
    while (!this.#stopping) await new Promise((resolve) => setTimeout(resolve, CHECK_PERIOD_MS));
    await this.#stopping;
  }

  async close(): Promise<void> {
    await Promise.all(this.#tasks.map((periodicTask) => periodicTask.close()));
    await this.#callers.close();
    await Promise.all([...this.#components].reverse().map((component) => component.close()));
    await this.#peerServer.close();
    await Promise.all(this.#clients.map((client) => client.close()));
  }

  async #shutDown(graceMs: number): Promise<void> {
    const openStreams = (): number => this.#routes.openStreams;
    const handOver = this.#gracefulShutdown.run({ graceMs, openStreams });
    this.#reports.publish({ urgent: true });
    await handOver;
    this.#callers.stopAccepting();
    await this.#peers.leave();
    await this.close();
  }
}
