import { inject, injectable } from 'inversify';
import { PeriodicTask } from '@ragwortrudder/core';
import type { Clock, Closeable } from '@ragwortrudder/core';
import { CloudApi, VmDirectory } from '@ragwortrudder/platform';
import type { Settings, Supply } from '@ragwortrudder/settings';
import { CheapestFirstSupply, MixedSupply, OnDemandSupply } from '@ragwortrudder/supply';
import type { SupplyPolicy, VmPrice } from '@ragwortrudder/supply';
import type { Service } from '@ragwortrudder/tickets';
import type { Vm } from '@ragwortrudder/platform';
import type { SupplyStatus } from '../../types/supply-status.ts';
import { tokens } from '../../types/tokens.ts';
import { supplyVersions } from '../../utils/supply-versions.ts';
import { TicketStore } from '../configuration/ticket-store.ts';
import { LeaseManager } from '../leases/lease-manager.ts';
import { NodeLifecycle } from '../lifecycle/node-lifecycle.ts';
import { Metrics } from '../metrics/metrics.ts';
import { StateLog } from '../metrics/state-log.ts';
import { RunnerClient } from '../runners/runner-client.ts';
import { EngineClient } from './engine-client.ts';
import { ReturningVms } from './returning-vms.ts';
import { SupplyJob } from './supply-job.ts';

const POLICIES: Readonly<Record<Supply['policy'], SupplyPolicy>> = {
  mixed: new MixedSupply(),
  'on-demand': new OnDemandSupply(),
  'cheapest-first': new CheapestFirstSupply(),
};

interface ManagedService {
  readonly name: string;
  readonly service: Service;
}

interface PlatformState {
  readonly vms: readonly Vm[];
  readonly prices: readonly VmPrice[];
}

/** Supply jobs, one for each service whose ticket declares a capacity. */
@injectable()
export class SupplyJobs implements Closeable {
  readonly #settings: Settings;
  readonly #tickets: Pick<TicketStore, 'state'>;
  readonly #leases: Pick<LeaseManager, 'setJobs' | 'holder' | 'record'>;
  readonly #life: Pick<NodeLifecycle, 'ready'>;
  readonly #cloudApi: CloudApi;
  readonly #directory: VmDirectory;
  readonly #jobDependencies: {
    readonly clock: Clock;
    readonly runners: Pick<RunnerClient, 'load'>;
    readonly engines: EngineClient;
    readonly returning: ReturningVms;
    readonly metrics: Metrics;
    readonly log: StateLog;
  };
  readonly #jobs = new Map<string, SupplyJob>();
  readonly #closing = new AbortController();
  readonly #task: PeriodicTask;

  constructor(
    @inject(tokens.settings) settings: Settings,
    @inject(tokens.clock) clock: Clock,
    @inject(TicketStore) tickets: Pick<TicketStore, 'state'>,
    @inject(LeaseManager) leases: Pick<LeaseManager, 'setJobs' | 'holder' | 'record'>,
    @inject(NodeLifecycle) life: Pick<NodeLifecycle, 'ready'>,
    @inject(RunnerClient) runners: Pick<RunnerClient, 'load'>,
    @inject(EngineClient) engines: EngineClient,
    @inject(ReturningVms) returning: ReturningVms,
    @inject(Metrics) metrics: Metrics,
    @inject(StateLog) log: StateLog,
  ) {
    this.#settings = settings;
    this.#tickets = tickets;
    this.#leases = leases;
    this.#life = life;
    this.#jobDependencies = { clock, runners, engines, returning, metrics, log };
    this.#cloudApi = new CloudApi({ baseUrl: settings.platform.url });
    this.#directory = new VmDirectory({ baseUrl: settings.platform.url });
    this.#task = new PeriodicTask({
      periodMs: settings.supply.periodMs,
      run: () => this.step(),
      onFailure: () => {
        metrics.count('supply_task_failures');
      },
    });
  }

  /** Status of the jobs whose lease this node holds. */
  get statuses(): readonly SupplyStatus[] {
    return [...this.#jobs.values()]
      .map((job) => job.status)
      .filter((status) => status !== undefined);
  }

  /** Requests the leases of all jobs and advances the jobs whose lease this node holds. */
  async step(): Promise<void> {
    const services =
      this.#life.ready && this.#settings.supply.enabled ? this.#managedServices() : [];
    await this.#leases.setJobs(services.map(({ name }) => jobName(name)));
    const names = new Set(services.map(({ name }) => name));
    for (const name of this.#jobs.keys()) if (!names.has(name)) this.#jobs.delete(name);
    const held = services.filter(({ name }) => this.#leases.holder(jobName(name))?.mayAct());
    if (held.length === 0) return;
    const [vms, prices] = await Promise.all([this.#directory.list(), this.#cloudApi.prices()]);
    await Promise.all(
      held.map((serviceJob) => this.#advance(serviceJob, { vms, prices }, services.length)),
    );
  }

  start(): void {
    if (this.#settings.supply.enabled) this.#task.start();
  }

  async close(): Promise<void> {
    this.#closing.abort();
    await this.#task.close();
    await this.#leases.setJobs([]);
    await this.#cloudApi.close();
    await this.#directory.close();
  }

  #managedServices(): readonly ManagedService[] {
    return Object.entries(this.#tickets.state.services).flatMap(([name, { service }]) =>
      service?.capacity ? [{ name, service }] : [],
    );
  }

  async #advance(
    { name, service }: ManagedService,
    platform: PlatformState,
    jobs: number,
  ): Promise<void> {
    const job = this.#jobFor(name);
    if (!job) return;
    const { earlierFences = [] } = this.#leases.record(jobName(name)) ?? {};
    const vms = platform.vms.filter(
      ({ role, labels }) => role === 'endpoint' && labels.service === name,
    );
    const versions = supplyVersions(this.#tickets.state, name);
    await job.step(
      { name, service, versions, vms, prices: platform.prices },
      { earlierFences, jobs },
    );
  }

  #jobFor(name: string): SupplyJob | undefined {
    const lease = this.#leases.holder(jobName(name));
    const existing = this.#jobs.get(name);
    if (existing || !lease) return existing;
    const job = new SupplyJob({
      ...this.#jobDependencies,
      service: name,
      lease,
      settings: this.#settings.supply,
      policy: POLICIES[this.#settings.supply.policy],
      cloud: this.#cloudApi,
      signal: this.#closing.signal,
    });
    this.#jobs.set(name, job);
    return job;
  }
}

function jobName(service: string): string {
  return `supply/${service}`;
}
