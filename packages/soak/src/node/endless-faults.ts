import type { IncomingMessage } from 'node:http';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Closeable } from '@ragwortrudder/core';
import { parseAddress } from '@ragwortrudder/standins';
import type { KeyedStore } from '@ragwortrudder/standins';
import type { PlannedFault } from '../types/planned-fault.ts';
import { ENDLESS_REQUESTS } from '../utils/endless-requests.ts';
import { ENDLESS_RESPONSES } from '../utils/endless-responses.ts';
import { EndlessWriter } from './endless-writer.ts';
import type { StoreWriter } from './store-writer.ts';

interface EndlessFaultsOptions {
  readonly store: KeyedStore;
  readonly storeWriter: StoreWriter;
  /** Addresses at which the nodes reach the store, and at which callers reach the nodes. */
  readonly storeAddresses: readonly string[];
  readonly nodeAddresses: readonly string[];
  readonly apiKey: string;
  /** Starts a caller whose bodies arrive slowly. */
  readonly startSlowCaller: (name: string) => Closeable;
}

/** Time after which the platform's bounds apply, in milliseconds; the faults last longer by it. */
const CONTACT_MS = 3_000;
/** Connections with which a caller sends bytes without end, and the pause before one is opened again. */
const CALLER_CONNECTIONS = 8;
const REOPEN_MS = 200;
const SLOW_CALLERS = 4;

/** Injects bytes without end from runners, callers and the store, and callers whose bodies arrive slowly. */
export class EndlessFaults {
  readonly #options: EndlessFaultsOptions;
  #count = 0;

  constructor(options: EndlessFaultsOptions) {
    this.#options = options;
  }

  /** Injects one fault; resolves once it has ended. */
  async inject(fault: PlannedFault): Promise<void> {
    this.#count += 1;
    const writer = new EndlessWriter();
    try {
      await this.#apply(fault, writer);
    } finally {
      await writer.close();
    }
  }

  async #apply({ kind, target, forMs, variant = '' }: PlannedFault, writer: EndlessWriter) {
    const { store, storeWriter, nodeAddresses } = this.#options;
    const lastsMs = forMs + CONTACT_MS;
    if (kind === 'caller-slow-body') return this.#sendSlowly(lastsMs);
    if (kind === 'caller-endless') {
      const address = nodeAddresses[target] ?? '';
      return this.#callEndlessly({ address, variant, lastsMs, writer });
    }
    const bytesOf = ENDLESS_RESPONSES[variant];
    if (!bytesOf) throw new RangeError(`unknown variant ${variant} of ${kind}`);
    if (kind === 'store-endless') {
      const port = this.#portOf(target);
      store.intercept((request, era) => {
        if (port !== undefined && request.socket.localPort !== port) return false;
        const headers = `Store-Era: ${era}\r\n`;
        writer.write(request.socket, bytesOf({ headers, contentType: 'application/octet-stream' }));
        return true;
      });
      await sleep(lastsMs);
      store.intercept(() => false);
      return;
    }
    const targets = kind === 'runners-endless' ? [...storeWriter.targets] : [target];
    const runners = targets.flatMap((index) => storeWriter.runnerAt(index) ?? []);
    for (const runner of runners) {
      runner.intercept((request) => {
        writer.write(request.socket, bytesOf(responseOptions(runner.id, request)));
      });
    }
    await sleep(lastsMs);
    for (const runner of runners) runner.intercept(undefined);
  }

  /** Port at which one node reaches the store; undefined for the target that means all nodes. */
  #portOf(target: number): number | undefined {
    const address = this.#options.storeAddresses[target];
    return address === undefined ? undefined : parseAddress(address).port;
  }

  async #sendSlowly(lastsMs: number): Promise<void> {
    const callers = Array.from({ length: SLOW_CALLERS }, (_item, index) =>
      this.#options.startSlowCaller(`slow${this.#count}-${index}`),
    );
    await sleep(lastsMs);
    await Promise.all(callers.map((caller) => caller.close()));
  }

  async #callEndlessly({ address, variant, lastsMs, writer }: EndlessCalls): Promise<void> {
    const bytesOf = ENDLESS_REQUESTS[variant];
    if (!bytesOf) throw new RangeError(`unknown variant ${variant} of requests`);
    const { apiKey } = this.#options;
    const { host, port } = parseAddress(address);
    const endsAt = performance.now() + lastsMs;
    for (let sent = 0; performance.now() < endsAt;) {
      for (let open = writer.connections; open < CALLER_CONNECTIONS; open += 1) {
        sent += 1;
        const id = `endless${this.#count}-${sent}`;
        const socket = connect(port, host).resume();
        writer.write(socket, bytesOf({ id, apiKey }));
      }
      await sleep(REOPEN_MS);
    }
  }
}

interface EndlessCalls {
  readonly address: string;
  readonly variant: string;
  readonly lastsMs: number;
  readonly writer: EndlessWriter;
}

function responseOptions(
  runner: string,
  request: IncomingMessage,
): Parameters<(typeof ENDLESS_RESPONSES)[string]>[0] {
  const id = String(request.headers['request-id'] ?? '');
  const isStream = request.url?.includes('events=') ?? false;
  return {
    headers: `Request-Id: ${id}\r\nResponse-Signature: ${runner}.${id}\r\n`,
    contentType: isStream ? 'text/event-stream' : 'text/plain',
  };
}
