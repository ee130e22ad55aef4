import type { ExecutionContext } from 'ava';
import { MemoryKeyedLog } from '@ragwortrudder/log';
import type { KeyedLog } from '@ragwortrudder/log';
import { Relay } from '@ragwortrudder/standins';
import type { RelayMode } from '@ragwortrudder/standins';
import { freePort } from './free-port.ts';
import { GatewayHarness } from './gateway-harness.ts';
import type { ScriptedRunner } from './scripted-runner.ts';

interface CutFleetOptions {
  readonly runners: readonly Pick<ScriptedRunner, 'port'>[];
  readonly gateways: number;
  readonly route?: object;
  /** Further options of a gateway, by its index. */
  readonly optionsOf?: (index: number) => Parameters<typeof GatewayHarness.start>[1];
}

interface NodeView {
  /** Port of this node's own link to a runner, by the runner's port. */
  readonly ports: ReadonlyMap<number, number>;
  /** What this node finds in place of the parts of the configuration that it names. */
  readonly configuration?: object;
}

const OPERATOR_TOPIC = 'op';
const RUNNER_TOPIC = 'servers';

/** A shared log in which one node finds the runners at the ports of its own links. */
class LinkedLog implements KeyedLog {
  readonly #log: KeyedLog;
  readonly #view: NodeView;

  constructor(log: KeyedLog, view: NodeView) {
    this.#log = log;
    this.#view = view;
  }

  get era(): number {
    return this.#log.era;
  }

  async newest(topic: string): ReturnType<KeyedLog['newest']> {
    const page = await this.#log.newest(topic);
    return { ...page, records: page.records.map((record) => this.#linked(topic, record)) };
  }

  async read(range: Parameters<KeyedLog['read']>[0]): ReturnType<KeyedLog['read']> {
    const page = await this.#log.read(range);
    return { ...page, records: page.records.map((record) => this.#linked(range.topic, record)) };
  }

  append(record: Parameters<KeyedLog['append']>[0]): Promise<number> {
    return this.#log.append(record);
  }

  #linked<T extends { readonly value?: Uint8Array | undefined }>(topic: string, record: T): T {
    if (!record.value) return record;
    const text = Buffer.from(record.value).toString();
    if (topic === OPERATOR_TOPIC) return { ...record, value: Buffer.from(this.#changed(text)) };
    if (topic !== RUNNER_TOPIC) return record;
    const linked = text.replace(/127\.0\.0\.1:(\d+)/, (_address, port: string) => {
      return `127.0.0.1:${this.#view.ports.get(Number(port)) ?? port}`;
    });
    return { ...record, value: Buffer.from(linked) };
  }

  #changed(text: string): string {
    const { configuration } = this.#view;
    return configuration
      ? JSON.stringify({ ...(JSON.parse(text) as object), ...configuration })
      : text;
  }
}

/** Gateways that share a log and runners; each reaches each runner over a link of its own. */
export class CutFleet {
  readonly gateways: GatewayHarness[] = [];
  readonly log = new MemoryKeyedLog();
  readonly #relays: Relay[] = [];
  readonly #options: CutFleetOptions;

  private constructor(options: CutFleetOptions) {
    this.#options = options;
  }

  static async start(t: ExecutionContext, options: CutFleetOptions): Promise<CutFleet> {
    const fleet = new CutFleet(options);
    const ports = options.runners.map(({ port }) => port);
    await GatewayHarness.configure(
      { log: fleet.log, ...(options.route ? { route: options.route } : {}) },
      ports,
    );
    t.teardown(() => Promise.all(fleet.#relays.map((relay) => relay.close())));
    for (let index = 0; index < options.gateways; index += 1) await fleet.join(t);
    return fleet;
  }

  /** Starts another gateway; it finds `configuration` in place of the parts that this names. */
  async join(t: ExecutionContext, configuration?: object): Promise<GatewayHarness> {
    const links = this.#options.runners.map(({ port }, index) => {
      return { name: `r${index}`, target: `127.0.0.1:${port}` };
    });
    const relay = new Relay(links);
    await relay.listen();
    this.#relays.push(relay);
    const linkPorts = relay.links().map(({ port }) => port);
    const ports = new Map(
      this.#options.runners.map(({ port }, index) => [port, linkPorts[index] ?? 0]),
    );
    const gateway = await GatewayHarness.start(t, {
      ...this.#options.optionsOf?.(this.gateways.length),
      log: new LinkedLog(this.log, { ports, ...(configuration ? { configuration } : {}) }),
      node: `n${this.gateways.length + 1}`,
      peerPort: await freePort(),
    });
    this.gateways.push(gateway);
    return gateway;
  }

  /** Sets the links of some gateways, by their index, to all runners or to those named. */
  async setLinks(gateways: readonly number[], mode: RelayMode, runners = ['*']): Promise<void> {
    for (const index of gateways) {
      for (const name of runners) await this.#relays[index]?.setFault({ name, mode, delayMs: 0 });
    }
  }
}
