import { createSocket } from 'node:dgram';
import type { Socket } from 'node:dgram';
import type { Address } from '@ragwortrudder/catalog';
import type { Closeable } from '@ragwortrudder/core';
import { createJSONRPCNotification, isJSONRPCRequest } from 'json-rpc-2.0';
import type { JSONRPCRequest } from 'json-rpc-2.0';
import type { DecisionLog } from './decision-log.ts';

interface PeerSocketOptions {
  readonly address: Address;
  readonly log: DecisionLog;
  readonly onMessage: (method: string, params: unknown) => void;
}

/** UDP socket for messages between nodes, each a JSON-RPC notification. Lost messages are not resent. */
export class PeerSocket implements Closeable {
  readonly #options: PeerSocketOptions;
  #socket: Socket | undefined;

  constructor(options: PeerSocketOptions) {
    this.#options = options;
  }

  async start(): Promise<void> {
    const { address, log } = this.#options;
    const socket = createSocket('udp4');
    this.#socket = socket;
    socket.on('message', (bytes) => {
      this.#receive(bytes);
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

  /** Sends a notification to each address; settles once all have been sent. */
  async send(method: string, params: object, addresses: readonly Address[]): Promise<void> {
    if (addresses.length === 0) return;
    const bytes = Buffer.from(JSON.stringify(createJSONRPCNotification(method, params)));
    await Promise.all(addresses.map((address) => this.#sendBytes(bytes, address)));
  }

  close(): Promise<void> {
    this.#socket?.close();
    this.#socket = undefined;
    return Promise.resolve();
  }

  #sendBytes(bytes: Buffer, { host, port }: Address): Promise<void> {
    return new Promise((resolve) => {
      if (!this.#socket) {
        resolve();
        return;
      }
      this.#socket.send(bytes, port, host, (error) => {
        if (error) this.#options.log.routine('peer-send-failed', { reason: error.message });
        resolve();
      });
    });
  }

  #receive(bytes: Buffer): void {
    const message = decodeMessage(bytes);
    if (message) this.#options.onMessage(message.method, message.params);
    else this.#options.log.routine('peer-message-unreadable', { bytes: bytes.length });
  }
}

function decodeMessage(bytes: Buffer): JSONRPCRequest | undefined {
  try {
    const message: unknown = JSON.parse(bytes.toString());
    return isJSONRPCRequest(message) ? message : undefined;
  } catch {
    return undefined;
  }
}
