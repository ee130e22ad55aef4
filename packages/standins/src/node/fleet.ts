import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { InvalidInput } from '@ragwortrudder/core';
import type { Closeable } from '@ragwortrudder/core';
import got from 'got';
import { UnknownName } from '../errors/unknown-name.ts';
import type { ApplicationFault } from '../types/application-fault.ts';
import type { EngineFault } from '../types/engine-fault.ts';
import type { EngineStats } from '../types/engine-stats.ts';
import type { FleetLayout } from '../types/fleet-layout.ts';
import type { FleetMember } from '../types/fleet-member.ts';
import type { FleetOptions } from '../types/fleet-options.ts';
import type { FleetRunner } from '../types/fleet-runner.ts';
import type { LinkReport } from '../types/link-report.ts';
import type { LinkSelection } from '../types/link-selection.ts';
import type { LogRecord } from '../types/log-record.ts';
import type { OperationRun } from '../types/operation-run.ts';
import type { PlatformFault } from '../types/platform-fault.ts';
import type { RelayMode } from '../types/relay-mode.ts';
import type { TicketReply } from '../types/ticket-reply.ts';
import { entrySettings } from '../utils/entry-settings.ts';
import { planLinks } from '../utils/plan-links.ts';
import { planLayout } from '../utils/plan-layout.ts';
import { ChildProcess } from './child-process.ts';
import { ControlClient } from './control-client.ts';
import { FleetLinks } from './fleet-links.ts';
import { freeAddresses } from './free-addresses.ts';

interface ReadyLine {
  readonly port: number;
  readonly runners?: readonly { readonly id: string; readonly address: string }[];
  readonly links?: readonly { readonly name: string; readonly port: number }[];
}
interface LogPage {
  readonly records: readonly LogRecord[];
}
interface ReclaimOptions {
  readonly noticeMs: number;
}

const HOST = '127.0.0.1';
const READY_POLL_MS = 50;
const MAX_CONCURRENT_STARTS = 8;
const TICKET_TIMEOUT_MS = 30_000;
const DEFAULT_READY_TIMEOUT_MS = 30_000;
const STANDINS_PROGRAM = fileURLToPath(new URL('../cli/main.ts', import.meta.url));
const ROUTE_PRELOAD = new URL('route-preload.ts', import.meta.url).href;
const NODE_PROGRAM = fileURLToPath(new URL('../../../cli/src/cli/main.ts', import.meta.url));
const TSX_LOADER = import.meta.resolve('tsx');

/** Complete deployment on loopback with a separate process for each component, for tests and benchmarks. */
export class Fleet implements Closeable {
  readonly operator = { name: 'operator', key: 'operator-key-0123456789abcdef' };
  readonly layout: FleetLayout;
  readonly #options: FleetOptions;
  readonly #processes = new Map<string, ChildProcess>();
  readonly #members = new Map<string, FleetMember>();
  readonly #earlierOutputs = new Map<string, string>();
  readonly #client = new ControlClient();
  readonly #timers = new Set<NodeJS.Timeout>();
  #runners: readonly FleetRunner[] = [];
  #links: FleetLinks | undefined;
  #settingsDirectory = '';

  constructor(options: FleetOptions = {}) {
    if (options.binary !== undefined && options.relays) {
      throw new InvalidInput('relays require nodes that run from source', [
        'binary: cannot be combined with relays; remove one of the two options',
      ]);
    }
    this.#options = options;
    this.layout = planLayout(options);
  }

  /** Processes of the fleet, with their addresses. */
  get members(): readonly FleetMember[] {
    return [...this.#members.values()];
  }

  /** Entry nodes. */
  get entries(): readonly FleetMember[] {
    return this.members.filter((member) => member.role === 'entry');
  }

  get runners(): readonly FleetRunner[] {
    return this.#runners;
  }

  /** Direct address of the platform, bypassing relays. */
  get platformAddress(): string {
    return this.member('platform').address;
  }

  /** Address of the callers' interface of an entry node. */
  callersAddress(name: string): string {
    return this.member(name).address;
  }

  member(name: string): FleetMember {
    const member = this.#members.get(name);
    if (!member) throw new UnknownName(name);
    return member;
  }

  runner(id: string): FleetRunner {
    const runner = this.#runners.find((other) => other.id === id);
    if (!runner) throw new UnknownName(id);
    return runner;
  }

  /** Operating system process id of a process, or `undefined` if it is not running. */
  pid(name: string): number | undefined {
    const child = this.#processes.get(name);
    return child?.running ? child.pid : undefined;
  }

  /** Stderr of a process across all its restarts; long output is truncated to its end. */
  output(name: string): string {
    return (this.#earlierOutputs.get(name) ?? '') + (this.#processes.get(name)?.output ?? '');
  }

  /** Starts all processes and waits until every entry node is ready. */
  async start(): Promise<void> {
    this.#settingsDirectory = await mkdtemp(join(tmpdir(), 'fleet-'));
    try {
      await this.startBackEnds();
      await this.startEntries();
    } catch (error) {
      await this.close();
      throw error;
    }
  }

  /** Starts the platform, the runners and the relay, but no entry nodes. */
  async startBackEnds(): Promise<void> {
    await this.#startPlatform();
    await this.#startRunners();
    await this.#registerEntries();
    if (this.#options.relays) await this.#startRelay();
  }

  /** Starts the named entry nodes, or all of them if `names` is omitted, and waits until they are ready. */
  async startEntries(names?: readonly string[]): Promise<void> {
    this.#settingsDirectory ||= await mkdtemp(join(tmpdir(), 'fleet-'));
    const entries = this.entries.filter(({ name }) => names?.includes(name) ?? true);
    for (let first = 0; first < entries.length; first += MAX_CONCURRENT_STARTS) {
      const group = entries.slice(first, first + MAX_CONCURRENT_STARTS);
      await Promise.all(group.map((entry) => this.#startEntry(entry)));
    }
  }

  /** Stops all processes, the entry nodes first. */
  async stop(): Promise<void> {
    for (const timer of this.#timers) clearTimeout(timer);
    const children = [...this.#processes.values()];
    const isEntry = (child: ChildProcess) => child.name.startsWith('entry-');
    await Promise.all(children.filter(isEntry).map((child) => child.close()));
    await Promise.all(children.filter((child) => !isEntry(child)).map((child) => child.close()));
    if (this.#settingsDirectory !== '')
      await rm(this.#settingsDirectory, { recursive: true, force: true });
  }

  async close(): Promise<void> {
    await this.stop();
  }

  /** Sends a signal to a process. For SIGKILL and SIGTERM, also resumes it and waits until it has ended. */
  async kill(name: string, signal: NodeJS.Signals = 'SIGKILL'): Promise<void> {
    const child = this.#process(name);
    child.signal(signal);
    if (signal !== 'SIGKILL' && signal !== 'SIGTERM') return;
    child.signal('SIGCONT');
    await child.ended();
  }

  /** Suspends a process. */
  pause(name: string): void {
    this.#process(name).signal('SIGSTOP');
  }

  /** Resumes a suspended process. */
  resume(name: string): void {
    this.#process(name).signal('SIGCONT');
  }

  /** Starts or restarts an entry node at its addresses. */
  async restart(name: string, signal: NodeJS.Signals = 'SIGTERM'): Promise<void> {
    const member = this.member(name);
    if (member.role !== 'entry') throw new UnknownName(name);
    if (this.pid(name) !== undefined) await this.kill(name, signal);
    this.#earlierOutputs.set(name, this.output(name));
    await this.#startEntry(member);
  }

  /** Sets the mode of the selected links; throws `UnknownName` if the fleet has no relay. */
  async linkFault(selection: LinkSelection, mode: RelayMode, delayMs = 0): Promise<void> {
    if (!this.#links) throw new UnknownName('relay');
    await this.#links.setMode(selection, mode, delayMs);
  }

  /** State of all links. A link is named `<entry node>><entry node, runner or platform>`. */
  async links(): Promise<readonly LinkReport[]> {
    return this.#links ? this.#links.report() : [];
  }

  /** Sets the mode of all links between a failure domain and everything outside it; by default, cuts them. */
  async cutFailureDomain(failureDomain: string, mode: RelayMode = 'cut'): Promise<void> {
    const { failureDomains } = this.layout;
    const others = failureDomains.filter((other) => other !== failureDomain);
    await this.linkFault({ from: [failureDomain], to: [...others, 'platform'] }, mode);
    await this.linkFault({ from: others, to: [failureDomain] }, mode);
  }

  async engineFault(runnerId: string, fault: EngineFault): Promise<void> {
    await this.#runnerFault(runnerId, fault);
  }

  async applicationFault(runnerId: string, fault: ApplicationFault): Promise<void> {
    await this.#runnerFault(runnerId, fault);
  }

  async platformFault(fault: PlatformFault): Promise<void> {
    await this.#postToPlatform('faults', fault);
  }

  /** Issues a reclaim notice for the VM of a runner or entry node and stops it at the deadline. */
  async reclaim(vmId: string, { noticeMs }: ReclaimOptions): Promise<void> {
    await this.#postToPlatform('reclaim', { vmId, noticeMs });
    if (!this.#processes.get(vmId)?.running) return;
    const timer = setTimeout(() => {
      this.#timers.delete(timer);
      this.#process(vmId).signal('SIGKILL');
    }, noticeMs);
    this.#timers.add(timer);
  }

  /** Returns every record ever appended to a log stream. */
  async log(stream: string): Promise<readonly LogRecord[]> {
    const url = `http://${this.platformAddress}/control/log/${stream}`;
    return (await this.#client.get<LogPage>(url)).records;
  }

  /** Returns the counters of all model runners. */
  async engineStats(): Promise<readonly EngineStats[]> {
    return this.#runnerReports<EngineStats>('model');
  }

  /** Returns the operation runs of all application runners. */
  async operationRuns(): Promise<readonly OperationRun[]> {
    interface Report {
      readonly runs: readonly OperationRun[];
    }
    return (await this.#runnerReports<Report>('application')).flatMap((report) => report.runs);
  }

  /** Submits a ticket to an entry node with the key of the operator. */
  async submitTicket(ticket: unknown, name = this.entries[0]?.name ?? ''): Promise<TicketReply> {
    const { statusCode, body } = await got.post(`http://${this.callersAddress(name)}/v1/tickets`, {
      json: ticket,
      headers: { authorization: `Bearer ${this.operator.key}` },
      retry: { limit: 0 },
      timeout: { request: TICKET_TIMEOUT_MS },
      throwHttpErrors: false,
    });
    return { status: statusCode, body: body === '' ? undefined : (JSON.parse(body) as unknown) };
  }

  async #startPlatform(): Promise<void> {
    const options = JSON.stringify(this.layout.platform);
    const { port } = await this.#startStandin('platform', ['platform', '--options', options]);
    this.#addMember({ name: 'platform', role: 'platform', failureDomain: '', port });
  }

  async #startRunners(): Promise<void> {
    const names = [...new Set(this.layout.runners.map((runner) => runner.process))];
    const started = await Promise.all(names.map((name) => this.#startRunnerProcess(name)));
    this.#runners = started.flat();
    for (const runner of this.#runners) {
      const { vmId, failureDomain, address, service, version, kind, control } = runner;
      const labels = { service, version, kind };
      if (vmId === '') {
        await this.#postToPlatform('spares', {
          spares: [{ failureDomain, address, control, labels }],
        });
        continue;
      }
      await this.#postToPlatform('vms', { id: vmId, failureDomain, address, labels, atOnce: true });
    }
  }

  async #startRunnerProcess(name: string): Promise<readonly FleetRunner[]> {
    const planned = this.layout.runners.filter((runner) => runner.process === name);
    const role = name.startsWith('engine-') ? 'engine' : 'application';
    const options = JSON.stringify(planned.map((plannedRunner) => plannedRunner.options));
    const ready = await this.#startStandin(name, [role, '--runners', options]);
    const failureDomain = planned[0]?.failureDomain ?? '';
    this.#addMember({ name, role, failureDomain, port: ready.port });
    return planned.map(({ id, process, service, version, kind, failureDomain, spare }) => ({
      ...{ id, process, service, version, kind, failureDomain },
      vmId: spare ? '' : `vm-${id}`,
      address: ready.runners?.find((runner) => runner.id === id)?.address ?? '',
      control: `http://${HOST}:${ready.port}/control/runners/${id}`,
    }));
  }

  async #registerEntries(): Promise<void> {
    const addresses = await freeAddresses(this.layout.entries.length * 2);
    for (const [index, { name, failureDomain }] of this.layout.entries.entries()) {
      const [address = '', peerAddress = ''] = addresses.slice(index * 2);
      this.#members.set(name, { name, role: 'entry', failureDomain, address, peerAddress });
      const machineClass = 'small';
      const vm = { id: name, role: 'entry', failureDomain, address, machineClass, atOnce: true };
      await this.#postToPlatform('vms', vm);
    }
  }

  async #startRelay(): Promise<void> {
    const links = planLinks({
      entries: this.entries,
      platformAddress: this.platformAddress,
      runners: this.#options.runnerRelays ? this.#runners : [],
    });
    const relayLinks = links.map(({ name, target }) => ({ name, target }));
    const ready = await this.#startStandin('relay', [
      'relay',
      '--links',
      JSON.stringify(relayLinks),
    ]);
    this.#addMember({ name: 'relay', role: 'relay', failureDomain: '', port: ready.port });
    this.#links = new FleetLinks({
      links,
      ports: new Map((ready.links ?? []).map(({ name, port }) => [name, port])),
      url: `http://${this.member('relay').address}/control/links`,
      failureDomainOf: (end) =>
        (this.#runners.find((runner) => runner.id === end) ?? this.member(end)).failureDomain,
    });
  }

  async #startEntry(entry: FleetMember): Promise<void> {
    const file = join(this.#settingsDirectory, `${entry.name}.json`);
    await writeFile(file, JSON.stringify(this.#settingsOf(entry), undefined, 2));
    const { binary, program = NODE_PROGRAM, debug } = this.#options;
    const routes = this.#links?.routesFrom(entry.name) ?? {};
    const sourceArgs = [`--import=${TSX_LOADER}`, `--import=${ROUTE_PRELOAD}`, program];
    const child = new ChildProcess({
      name: entry.name,
      command: binary ?? process.execPath,
      args: [...(binary === undefined ? sourceArgs : []), 'serve', '--settings', file],
      env: { STANDINS_ROUTES: JSON.stringify(routes), DEBUG: debug ?? '' },
    });
    this.#processes.set(entry.name, child);
    await child.within(this.#waitUntilReady(entry), this.#readyTimeoutMs(), 'did not become ready');
  }

  #settingsOf(entry: FleetMember): unknown {
    return entrySettings({
      entry,
      seeds: this.entries.map((other) => other.peerAddress ?? ''),
      platformAddress: this.platformAddress,
      operator: this.operator,
      tenants: this.layout.tenants,
      overrides: this.#options.settings ?? {},
    });
  }

  async #waitUntilReady(entry: FleetMember): Promise<void> {
    for (;;) {
      const status = await this.#client.status(`http://${entry.address}/ready`);
      if (status === 200 || !this.#process(entry.name).running) return;
      await delay(READY_POLL_MS);
    }
  }

  async #startStandin(name: string, args: readonly string[]): Promise<ReadyLine> {
    const child = new ChildProcess({
      name,
      command: process.execPath,
      args: [`--import=${TSX_LOADER}`, STANDINS_PROGRAM, ...args],
    });
    this.#processes.set(name, child);
    return JSON.parse(await child.firstLine(this.#readyTimeoutMs())) as ReadyLine;
  }

  #addMember(member: Omit<FleetMember, 'address'> & { readonly port: number }): void {
    const { port, ...rest } = member;
    this.#members.set(member.name, { ...rest, address: `${HOST}:${port}` });
  }

  #process(name: string): ChildProcess {
    const child = this.#processes.get(name);
    if (!child) throw new UnknownName(name);
    return child;
  }

  async #runnerFault(runnerId: string, fault: unknown): Promise<void> {
    await this.#client.post(`${this.runner(runnerId).control}/faults`, fault);
  }

  async #runnerReports<T>(kind: FleetRunner['kind']): Promise<readonly T[]> {
    const runners = this.#runners.filter((runner) => runner.kind === kind);
    return Promise.all(runners.map((runner) => this.#client.get<T>(runner.control)));
  }

  async #postToPlatform(path: string, body: unknown): Promise<void> {
    await this.#client.post(`http://${this.platformAddress}/control/${path}`, body);
  }

  #readyTimeoutMs(): number {
    return this.#options.readyTimeoutMs ?? DEFAULT_READY_TIMEOUT_MS;
  }
}
