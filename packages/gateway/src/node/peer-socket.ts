import { createSocket } from 'node:dgram';
import type { Socket } from 'node:dgram';
import { lookup } from 'node:dns';
import { isIPv4 } from 'node:net';
import type { Address } from '@ragwortrudder/catalog';
import type { Closeable, ProcessorMeter } from '@ragwortrudder/core';
import { decodeMessage } from '../utils/decode-message.ts';
import { reasonOf } from '../utils/reason-of.ts';
import type { DecisionLog } from './decision-log.ts';

interface PeerSocketOptions {
  readonly address: Address;
  readonly log: DecisionLog;
  readonly processor: Pick<ProcessorMeter, 'measure'>;
  readonly onMessage: (method: string, params: unknown) => void;
}

const MAX_METHOD_LENGTH = 64;
const IPV4 = 4;

interface Notification {
  readonly jsonrpc: '2.0';
  readonly method: string;
  readonly params?: unknown;
}

function isNotification(value: unknown): value is Notification {
  if (typeof value !== 'object' || value === null) return false;
  const { jsonrpc, method } = value as Partial<Record<keyof Notification, unknown>>;
  return jsonrpc === '2.0' && typeof method === 'string' && method.length <= MAX_METHOD_LENGTH;
}

/** Resolves the host of a peer; an address at once, without a turn of the event loop. */
function resolveHost(
  host: string,
  _options: unknown,
  done: (error: NodeJS.ErrnoException | null, address: string, family: number) => void,
): void {
  if (isIPv4(host)) done(null, host, IPV4);
  else lookup(host, IPV4, done);
}

/** UDP socket for messages between nodes, each a JSON-RPC notification. Lost messages are not resent. */
export class PeerSocket implements Closeable {
  readonly #options: PeerSocketOptions;
  #socket: Socket | undefined;

  constructor(options: PeerSocketOptions) {
    this.#options = options;
  }

  async start(): Promise<void> {
    const { address, log, processor } = this.#options;
    const socket = createSocket({ type: 'udp4', lookup: resolveHost });
    this.#socket = socket;
    socket.on('message', (bytes, { address: sender }) => {
      processor.measure('peerMessages', () => {
        this.#receive(bytes, sender);
      });
    });
    socket.on('error', (error) => {
      log.notable('peer-socket-failed', { reason: error.message });
    });
    await new Promise<void>((resolve, reject) => {
      socket.once('error', reject);
      socket.bind(address.port, address.host, () => {
        socket.off('error', reject);
        resolve();
      });
    });
  }

  /** Sends an encoded message to an address; settles once it has been sent or has failed. */
  send(bytes: Buffer, { host, port }: Address): Promise<void> {
    return new Promise((resolve) => {
      if (!this.#socket) {
        resolve();
        return;
      }
      const settle = (error: unknown): void => {
        if (error) this.#options.log.routine('peer-send-failed', { reason: reasonOf(error) });
        resolve();
      };
      // Thrown, for example, for a port that no socket can have.
      try {
        this.#socket.send(bytes, port, host, settle);
      } catch (error) {
        settle(error);
      }
    });
  }

  close(): Promise<void> {
    this.#socket?.close();
    this.#socket = undefined;
    return Promise.resolve();
  }

  #receive(bytes: Buffer, sender: string): void {
    const message = decodeMessage(bytes);
    if (isNotification(message)) this.#options.onMessage(message.method, message.params);
    else this.#options.log.rejected({ topic: 'peer-message', key: sender, cause: 'not readable' });
  }
}
