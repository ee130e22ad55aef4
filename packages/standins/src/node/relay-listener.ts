import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import type { Closeable } from '@ragwortrudder/core';
import type { RelayLink } from '../types/relay-link.ts';
import type { RelayMode } from '../types/relay-mode.ts';
import { RelayConnection } from './relay-connection.ts';

/** Listening socket of a relay link. */
export class RelayListener implements Closeable {
  readonly name: string;
  readonly target: string;
  readonly #server: Server;
  readonly #connections = new Map<Socket, RelayConnection>();
  #mode: RelayMode = 'open';
  #delayMs = 0;
  #accepted = 0;
  #lostBytes = 0;
  #port: number;

  constructor(link: RelayLink) {
    this.name = link.name;
    this.target = link.target;
    this.#port = link.listen ?? 0;
    this.#server = createServer({ allowHalfOpen: true }, (socket) => {
      this.#accept(socket);
    });
  }

  get port(): number {
    return this.#port;
  }

  get mode(): RelayMode {
    return this.#mode;
  }

  get delayMs(): number {
    return this.#delayMs;
  }

  /** Connections accepted since the relay started. */
  get accepted(): number {
    return this.#accepted;
  }

  /** Bytes dropped because of the mode of the link. */
  get lostBytes(): number {
    return this.#lostBytes;
  }

  recordLostBytes(bytes: number): void {
    this.#lostBytes += bytes;
  }

  async listen(): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(this.#port, '127.0.0.1', () => {
        this.#server.off('error', reject);
        resolve();
      });
    });
    this.#port = (this.#server.address() as AddressInfo).port;
  }

  async setMode(mode: RelayMode, delayMs: number): Promise<void> {
    this.#mode = mode;
    this.#delayMs = delayMs;
    if (mode === 'silent') for (const connection of this.#connections.values()) connection.freeze();
    if (mode === 'cut') await this.close();
    else if (!this.#server.listening) await this.listen();
  }

  async close(): Promise<void> {
    for (const connection of this.#connections.values()) connection.destroy();
    if (!this.#server.listening) return;
    await new Promise<void>((resolve) => {
      this.#server.close(() => {
        resolve();
      });
    });
  }

  #accept(socket: Socket): void {
    this.#accepted += 1;
    this.#connections.set(socket, new RelayConnection(socket, this.target, this));
    socket.once('close', () => this.#connections.delete(socket));
  }
}
