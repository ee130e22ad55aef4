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
}

const RUNNER_TOPIC = 'servers';

/** A shared log in which one node finds the runners at the ports of its own links. */
class LinkedLog implements KeyedLog {
  readonly #log: KeyedLog;
  readonly #ports: ReadonlyMap<number, number>;

  constructor(log: KeyedLog, ports: ReadonlyMap<number, number>) {
    this.#log = log;
    this.#ports = ports;
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
    if (topic !== RUNNER_TOPIC || !record.value) return record;
    const text = Buffer.from(record.value).toString();
    const linked = text.replace(/127\.0\.0\.1:(\d+)/, (_address, port: string) => {
      return `127.0.0.1:${this.#ports.get(Number(port)) ?? port}`;
    });
    return { ...record, value: Buffer.from(linked) };
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

  /** Starts another gateway. */
  async join(t: ExecutionContext): Promise<GatewayHarness> {
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
      log: new LinkedLog(this.log, ports),
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
