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
const STARTS_AT_ONCE = 8;
const TICKET_TIMEOUT_MS = 30_000;
const DEFAULT_READY_TIMEOUT_MS = 30_000;
const STANDINS = fileURLToPath(new URL('../cli/main.ts', import.meta.url));
const ROUTE_PRELOAD = new URL('route-preload.ts', import.meta.url).href;
const NODE = fileURLToPath(new URL('../../../cli/src/cli/main.ts', import.meta.url));
const TSX = import.meta.resolve('tsx');

/** Whole deployment on loopback, each part a process of its own, for tests and measurements. */
export class Fleet implements Closeable {
  readonly operator = { name: 'operator', key: 'operator-key-0123456789abcdef' };
  readonly layout: FleetLayout;
  readonly #options: FleetOptions;
  readonly #processes = new Map<string, ChildProcess>();
  readonly #members = new Map<string, FleetMember>();
  readonly #outputs = new Map<string, string>();
  readonly #client = new ControlClient();
  readonly #timers = new Set<NodeJS.Timeout>();
  #runners: readonly FleetRunner[] = [];
  #links: FleetLinks | undefined;
  #folder = '';

  constructor(options: FleetOptions = {}) {
    if (options.binary !== undefined && options.relays) {
      throw new InvalidInput('relays need the sources', ['binary: cannot be used with relays']);
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

  /** Address of the platform, not through a relay. */
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

  /** Process id of a process, while it runs. */
  pid(name: string): number | undefined {
    const child = this.#processes.get(name);
    return child?.running ? child.pid : undefined;
  }

  /** What a process wrote to stderr, over all its lives, its end if long. */
  output(name: string): string {
    return (this.#outputs.get(name) ?? '') + (this.#processes.get(name)?.output ?? '');
  }

  /** Starts everything and waits until every entry node is ready. */
  async start(): Promise<void> {
    this.#folder = await mkdtemp(join(tmpdir(), 'fleet-'));
    try {
      await this.startBackEnds();
      await this.startEntries();
    } catch (error) {
      await this.close();
      throw error;
    }
  }

  /** Starts the platform, the runners and the relays only. */
  async startBackEnds(): Promise<void> {
    await this.#startPlatform();
    await this.#startRunners();
    await this.#planEntries();
    if (this.#options.relays) await this.#startRelay();
  }

  /** Starts the entry nodes, all of them without `names`, and waits until they are ready. */
  async startEntries(names?: readonly string[]): Promise<void> {
    this.#folder ||= await mkdtemp(join(tmpdir(), 'fleet-'));
    const entries = this.entries.filter(({ name }) => names?.includes(name) ?? true);
    for (let first = 0; first < entries.length; first += STARTS_AT_ONCE) {
      const group = entries.slice(first, first + STARTS_AT_ONCE);
      await Promise.all(group.map((entry) => this.#startEntry(entry)));
    }
  }

  /** Stops everything: the entry nodes first. */
  async stop(): Promise<void> {
    for (const timer of this.#timers) clearTimeout(timer);
    const children = [...this.#processes.values()];
    const isEntry = (child: ChildProcess) => child.name.startsWith('entry-');
    await Promise.all(children.filter(isEntry).map((child) => child.close()));
    await Promise.all(children.filter((child) => !isEntry(child)).map((child) => child.close()));
    if (this.#folder !== '') await rm(this.#folder, { recursive: true, force: true });
  }

  async close(): Promise<void> {
    await this.stop();
  }

  /** Sends a signal to a process; SIGKILL and SIGTERM also resume it, and await its end. */
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

  /** Starts an entry node, anew at the same addresses when it ran before. */
  async restart(name: string, signal: NodeJS.Signals = 'SIGTERM'): Promise<void> {
    const member = this.member(name);
    if (member.role !== 'entry') throw new UnknownName(name);
    if (this.pid(name) !== undefined) await this.kill(name, signal);
    this.#outputs.set(name, this.output(name));
    await this.#startEntry(member);
  }

  /** Sets the mode of the selected links; a fleet without relays has none. */
  async linkFault(selection: LinkSelection, mode: RelayMode, delayMs = 0): Promise<void> {
    if (!this.#links) throw new UnknownName('relay');
    await this.#links.setMode(selection, mode, delayMs);
  }

  /** State of the links; their names are `<entry node>><entry node, runner or platform>`. */
  async links(): Promise<readonly LinkReport[]> {
    return this.#links ? this.#links.report() : [];
  }

  /** Cuts all links between the failure domain and everything outside it, or restores them. */
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
    await this.#control('faults', fault);
  }

  /** Gives notice for the VM of a runner or of an entry node, which is stopped at the deadline. */
  async reclaim(vmId: string, { noticeMs }: ReclaimOptions): Promise<void> {
    await this.#control('reclaim', { vmId, noticeMs });
    if (!this.#processes.get(vmId)?.running) return;
    const timer = setTimeout(() => {
      this.#timers.delete(timer);
      this.#process(vmId).signal('SIGKILL');
    }, noticeMs);
    this.#timers.add(timer);
  }

  /** Every record ever appended to a stream of the log. */
  async log(stream: string): Promise<readonly LogRecord[]> {
    const url = `http://${this.platformAddress}/control/log/${stream}`;
    return (await this.#client.get<LogPage>(url)).records;
  }

  /** Counters of all model runners. */
  async engineStats(): Promise<readonly EngineStats[]> {
    return this.#reports<EngineStats>('model');
  }

  /** Runs of all application runners. */
  async operationRuns(): Promise<readonly OperationRun[]> {
    interface Report {
      readonly runs: readonly OperationRun[];
    }
    return (await this.#reports<Report>('application')).flatMap((report) => report.runs);
  }

  /** Submits a ticket to an entry node as the operator. */
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
        await this.#control('spares', { spares: [{ failureDomain, address, control, labels }] });
        continue;
      }
      await this.#control('vms', { id: vmId, failureDomain, address, labels, atOnce: true });
    }
  }

  async #startRunnerProcess(name: string): Promise<readonly FleetRunner[]> {
    const places = this.layout.runners.filter((runner) => runner.process === name);
    const role = name.startsWith('engine-') ? 'engine' : 'application';
    const options = JSON.stringify(places.map((place) => place.options));
    const ready = await this.#startStandin(name, [role, '--runners', options]);
    const failureDomain = places[0]?.failureDomain ?? '';
    this.#addMember({ name, role, failureDomain, port: ready.port });
    return places.map(({ id, process, service, version, kind, failureDomain, spare }) => ({
      ...{ id, process, service, version, kind, failureDomain },
      vmId: spare ? '' : `vm-${id}`,
      address: ready.runners?.find((runner) => runner.id === id)?.address ?? '',
      control: `http://${HOST}:${ready.port}/control/runners/${id}`,
    }));
  }

  async #planEntries(): Promise<void> {
    const addresses = await freeAddresses(this.layout.entries.length * 2);
    for (const [index, { name, failureDomain }] of this.layout.entries.entries()) {
      const [address = '', peerAddress = ''] = addresses.slice(index * 2);
      this.#members.set(name, { name, role: 'entry', failureDomain, address, peerAddress });
      const machineClass = 'small';
      const vm = { id: name, role: 'entry', failureDomain, address, machineClass, atOnce: true };
      await this.#control('vms', vm);
    }
  }

  async #startRelay(): Promise<void> {
    const links = planLinks({
      entries: this.entries,
      platformAddress: this.platformAddress,
      runners: this.#options.runnerRelays ? this.#runners : [],
    });
    const named = links.map(({ name, target }) => ({ name, target }));
    const ready = await this.#startStandin('relay', ['relay', '--links', JSON.stringify(named)]);
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
    const file = join(this.#folder, `${entry.name}.json`);
    await writeFile(file, JSON.stringify(this.#settingsOf(entry), undefined, 2));
    const { binary, program = NODE, debug } = this.#options;
    const routes = this.#links?.routesFrom(entry.name) ?? {};
    const sources = [`--import=${TSX}`, `--import=${ROUTE_PRELOAD}`, program];
    const child = new ChildProcess({
      name: entry.name,
      command: binary ?? process.execPath,
      args: [...(binary === undefined ? sources : []), 'serve', '--settings', file],
      env: { STANDINS_ROUTES: JSON.stringify(routes), DEBUG: debug ?? '' },
    });
    this.#processes.set(entry.name, child);
    await child.within(this.#ready(entry), this.#readyTimeoutMs(), 'was not ready');
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

  async #ready(entry: FleetMember): Promise<void> {
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
      args: [`--import=${TSX}`, STANDINS, ...args],
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

  async #reports<T>(kind: FleetRunner['kind']): Promise<readonly T[]> {
    const runners = this.#runners.filter((runner) => runner.kind === kind);
    return Promise.all(runners.map((runner) => this.#client.get<T>(runner.control)));
  }

  async #control(path: string, body: unknown): Promise<void> {
    await this.#client.post(`http://${this.platformAddress}/control/${path}`, body);
  }

  #readyTimeoutMs(): number {
    return this.#options.readyTimeoutMs ?? DEFAULT_READY_TIMEOUT_MS;
  }
}
