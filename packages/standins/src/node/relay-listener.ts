import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Closeable } from '@ragwortrudder/core';
import type { RelayLink } from '../types/relay-link.ts';
import type { RelayMode } from '../types/relay-mode.ts';
import { RelayConnection } from './relay-connection.ts';
import { UnacceptingPort } from './unaccepting-port.ts';

/** Ports below those that the operating system assigns to outgoing connections. */
const FIRST_PORT = 10_000;
const PORT_COUNT = 22_000;
const RETRY_MS = 50;
const FREEZING_MODES: ReadonlySet<RelayMode> = new Set(['silent', 'dark']);
const REFUSING_MODES: ReadonlySet<RelayMode> = new Set(['dark', 'refuse-new']);

function randomPort(): number {
  return FIRST_PORT + Math.floor(Math.random() * PORT_COUNT);
}

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
  #unaccepting: UnacceptingPort | undefined;
  /** Changes run one after another: two listens at a time would claim the port twice. */
  #changed: Promise<void> = Promise.resolve();

  constructor(link: RelayLink) {
    this.name = link.name;
    this.target = link.target;
    this.#port = link.listen ?? 0;
    this.#server = createServer({ allowHalfOpen: true }, (socket) => {
      this.#forward(socket);
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

  /** Listens on the port of the link, or on any port that no outgoing connection can get meanwhile. */
  async listen(): Promise<void> {
    while (!(await this.#tryListen(this.#port || randomPort()))) {
      if (this.#port > 0) await sleep(RETRY_MS);
    }
    this.#port = (this.#server.address() as AddressInfo).port;
  }

  setMode(mode: RelayMode, delayMs: number): Promise<void> {
    return this.#afterOthers(() => this.#change(mode, delayMs));
  }

  close(): Promise<void> {
    return this.#afterOthers(() => this.#stop());
  }

  #afterOthers(change: () => Promise<void>): Promise<void> {
    const changed = this.#changed.then(change);
    this.#changed = changed.catch(() => undefined);
    return changed;
  }

  async #change(mode: RelayMode, delayMs: number): Promise<void> {
    this.#mode = mode;
    this.#delayMs = delayMs;
    for (const connection of this.#connections.values()) {
      connection.setPaused(mode === 'paused');
      if (FREEZING_MODES.has(mode)) connection.freeze();
    }
    if (mode === 'cut') {
      await this.#stop();
      return;
    }
    await this.#accept(mode);
  }

  async #stop(): Promise<void> {
    for (const connection of this.#connections.values()) connection.destroy();
    await this.#unaccepting?.close();
    this.#unaccepting = undefined;
    if (!this.#server.listening) return;
    await new Promise<void>((resolve) => {
      this.#server.close(() => {
        resolve();
      });
    });
  }

  /** Listens for new connections, or stops listening; open connections live on. */
  async #accept(mode: RelayMode): Promise<void> {
    await this.#unaccepting?.close();
    this.#unaccepting = undefined;
    const isRefusing = REFUSING_MODES.has(mode);
    if (isRefusing && this.#server.listening) this.#server.close();
    if (!isRefusing && !this.#server.listening) await this.listen();
    if (mode === 'dark') this.#unaccepting = await UnacceptingPort.listen(this.#port);
  }

  /** Returns false when the port is in use. */
  #tryListen(port: number): Promise<boolean> {
    return new Promise((resolve, reject) => {
      const onError = (error: NodeJS.ErrnoException): void => {
        if (error.code === 'EADDRINUSE') resolve(false);
        else reject(error);
      };
      this.#server.once('error', onError);
      this.#server.listen(port, '127.0.0.1', () => {
        this.#server.off('error', onError);
        resolve(true);
      });
    });
  }

  #forward(socket: Socket): void {
    this.#accepted += 1;
    this.#connections.set(socket, new RelayConnection(socket, this.target, this));
    socket.once('close', () => this.#connections.delete(socket));
  }
}
