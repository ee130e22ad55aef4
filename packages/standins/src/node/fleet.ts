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
import type { LogRecord } from '../types/log-record.ts';
import type { OperationRun } from '../types/operation-run.ts';
import type { PlatformFault } from '../types/platform-fault.ts';
import type { RelayLink } from '../types/relay-link.ts';
import type { RelayMode } from '../types/relay-mode.ts';
import { entrySettings } from '../utils/entry-settings.ts';
import { planLayout } from '../utils/plan-layout.ts';
import { ChildProcess } from './child-process.ts';
import { freePorts } from './free-ports.ts';

interface ReadyLine {
  readonly port: number;
  readonly runners?: readonly { readonly id: string; readonly address: string }[];
  readonly links?: readonly { readonly name: string; readonly port: number }[];
}
interface LinkSelection {
  /** Entry nodes or failure domains whose outgoing links are meant; all without it. */
  readonly from?: readonly string[];
  /** Entry nodes, runners, failure domains or `platform` to which the links lead; all without it. */
  readonly to?: readonly string[];
}
interface Link extends RelayLink {
  readonly from: string;
  readonly to: string;
}
interface LinkPage {
  readonly links: readonly LinkReport[];
}
interface LogPage {
  readonly records: readonly LogRecord[];
}
interface Response {
  readonly status: number;
  readonly body: unknown;
}
interface ReclaimOptions {
  readonly noticeMs: number;
}

const HOST = '127.0.0.1';
const READY_POLL_MS = 50;
const STARTS_AT_ONCE = 8;
const CALL_TIMEOUT_MS = 10_000;
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
  readonly #timers = new Set<NodeJS.Timeout>();
  #runners: readonly FleetRunner[] = [];
  #links: readonly Link[] = [];
  #linkPorts: ReadonlyMap<string, number> = new Map();
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

  /** Starts the entry nodes and waits until they are ready. */
  async startEntries(): Promise<void> {
    this.#folder ||= await mkdtemp(join(tmpdir(), 'fleet-'));
    for (let first = 0; first < this.entries.length; first += STARTS_AT_ONCE) {
      const group = this.entries.slice(first, first + STARTS_AT_ONCE);
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

  /** Sends a signal to a process; resolves when it has ended, for signals that end it. */
  async kill(name: string, signal: NodeJS.Signals = 'SIGKILL'): Promise<void> {
    const child = this.#process(name);
    child.signal(signal);
    if (signal === 'SIGKILL' || signal === 'SIGTERM') await child.ended();
  }

  /** Suspends a process. */
  pause(name: string): void {
    this.#process(name).signal('SIGSTOP');
  }

  /** Resumes a suspended process. */
  resume(name: string): void {
    this.#process(name).signal('SIGCONT');
  }

  /** Starts an entry node anew at the same addresses, ending its last life if need be. */
  async restart(name: string, signal: NodeJS.Signals = 'SIGTERM'): Promise<void> {
    const member = this.member(name);
    if (member.role !== 'entry') throw new UnknownName(name);
    if (this.#process(name).running) await this.kill(name, signal);
    this.#outputs.set(name, this.output(name));
    await this.#startEntry(member);
  }

  /** Sets the mode of all links that match. */
  async linkFault(selection: LinkSelection, mode: RelayMode, delayMs = 0): Promise<void> {
    const faults = this.#links
      .filter((link) => this.#matches(link, selection))
      .map(({ name }) => ({ name, mode, delayMs }));
    const url = `http://${this.member('relay').address}/control/links`;
    await got.post(url, { json: { faults }, ...this.#callOptions() });
  }

  /** State of the links; their names are `<entry node>><entry node, runner or platform>`. */
  async links(): Promise<readonly LinkReport[]> {
    const url = `http://${this.member('relay').address}/control/links`;
    return (await got(url, this.#callOptions()).json<LinkPage>()).links;
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
    const { records } = await got(url, this.#callOptions()).json<LogPage>();
    return records;
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
  async submitTicket(ticket: unknown, name = this.entries[0]?.name ?? ''): Promise<Response> {
    const { statusCode, body } = await got.post(`http://${this.callersAddress(name)}/v1/tickets`, {
      json: ticket,
      headers: { authorization: `Bearer ${this.operator.key}` },
      ...this.#callOptions(),
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
    const ports = await freePorts(this.layout.entries.length * 2);
    for (const [index, { name, failureDomain }] of this.layout.entries.entries()) {
      const peerAddress = `${HOST}:${ports[index * 2 + 1] ?? 0}`;
      const port = ports[index * 2] ?? 0;
      this.#addMember({ name, role: 'entry', failureDomain, port, peerAddress });
      const address = `${HOST}:${port}`;
      const machineClass = 'small';
      const vm = { id: name, role: 'entry', failureDomain, address, machineClass, atOnce: true };
      await this.#control('vms', vm);
    }
  }

  async #startRelay(): Promise<void> {
    this.#links = this.entries.flatMap((entry) => this.#linksFrom(entry));
    const links = this.#links.map(({ name, target }) => ({ name, target, listen: 0 }));
    const args = ['relay', '--links', JSON.stringify(links)];
    const ready = await this.#startStandin('relay', args);
    this.#addMember({ name: 'relay', role: 'relay', failureDomain: '', port: ready.port });
    this.#linkPorts = new Map((ready.links ?? []).map(({ name, port }) => [name, port]));
  }

  #linksFrom(entry: FleetMember): readonly Link[] {
    const link = (to: string, target: string) => ({
      name: `${entry.name}>${to}`,
      from: entry.name,
      to,
      target,
    });
    const peers = this.entries
      .filter((other) => other.name !== entry.name)
      .map((other) => link(other.name, other.peerAddress ?? ''));
    const runners = this.#options.runnerRelays ? this.#runners : [];
    const toRunners = runners.map((runner) => link(runner.id, runner.address));
    return [...peers, link('platform', this.platformAddress), ...toRunners];
  }

  #matches(link: Link, { from, to }: LinkSelection): boolean {
    const names = (name: string) => {
      const runner = this.#runners.find((other) => other.id === name);
      return [name, runner?.failureDomain ?? this.member(name).failureDomain];
    };
    const meets = (name: string, wanted: readonly string[] | undefined) =>
      wanted === undefined || names(name).some((known) => wanted.includes(known));
    return meets(link.from, from) && meets(link.to, to);
  }

  async #startEntry(entry: FleetMember): Promise<void> {
    const file = join(this.#folder, `${entry.name}.json`);
    await writeFile(file, JSON.stringify(this.#settingsOf(entry), undefined, 2));
    const { binary, program = NODE, debug } = this.#options;
    const sources = [`--import=${TSX}`, `--import=${ROUTE_PRELOAD}`, program];
    const child = new ChildProcess({
      name: entry.name,
      command: binary ?? process.execPath,
      args: [...(binary === undefined ? sources : []), 'serve', '--settings', file],
      env: { STANDINS_ROUTES: JSON.stringify(this.#routesOf(entry)), DEBUG: debug ?? '' },
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

  #routesOf(entry: FleetMember): Readonly<Record<string, string>> {
    const routes = this.#links
      .filter((link) => link.from === entry.name)
      .map(({ name, target }) => [target, `${HOST}:${this.#linkPorts.get(name) ?? 0}`]);
    return Object.fromEntries(routes) as Readonly<Record<string, string>>;
  }

  async #ready(entry: FleetMember): Promise<void> {
    const url = `http://${entry.address}/ready`;
    const options = { ...this.#callOptions(), throwHttpErrors: false };
    for (;;) {
      const status = await got(url, options).then(
        (response) => response.statusCode,
        () => 0,
      );
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
    const url = `${this.runner(runnerId).control}/faults`;
    await got.post(url, { json: fault, ...this.#callOptions() });
  }

  async #reports<T>(kind: FleetRunner['kind']): Promise<readonly T[]> {
    const runners = this.#runners.filter((runner) => runner.kind === kind);
    return Promise.all(runners.map((runner) => got(runner.control, this.#callOptions()).json<T>()));
  }

  async #control(path: string, body: unknown): Promise<void> {
    const url = `http://${this.platformAddress}/control/${path}`;
    await got.post(url, { json: body, ...this.#callOptions() });
  }

  #callOptions(): {
    readonly retry: { readonly limit: 0 };
    readonly timeout: { readonly request: number };
  } {
    return { retry: { limit: 0 }, timeout: { request: CALL_TIMEOUT_MS } };
  }

  #readyTimeoutMs(): number {
    return this.#options.readyTimeoutMs ?? DEFAULT_READY_TIMEOUT_MS;
  }
}
