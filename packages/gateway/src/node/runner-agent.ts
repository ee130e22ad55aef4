import { Agent } from 'node:http';
import type { ClientRequest } from 'node:http';
import type { Socket, TcpNetConnectOpts } from 'node:net';
import { closeIdleSockets, timerDelayMs } from '@ragwortrudder/core';
import { CONNECT_TIMEOUT_MS } from '../utils/connect-timeout-ms.ts';
import { limitConnectTime } from '../utils/limit-connect-time.ts';
import { SlicedSocket } from './sliced-socket.ts';

interface RunnerAgentOptions {
  /** Maximum number of concurrent connections. */
  readonly maxSockets: number;
}

const MS_PER_S = 1_000;
/** Fraction of a runner's idle time-out during which a kept-alive connection is reused. */
const IDLE_SHARE = 0.7;
/**
 * Idle time after which a connection is closed when the runner does not declare its time-out, in
 * milliseconds.
 */
const DEFAULT_IDLE_MS = 2_000;
/** Shortest idle time that a runner can ask for, in milliseconds. */
const MIN_IDLE_MS = 100;

interface IdleState {
  readonly closeTimer: NodeJS.Timeout;
  readonly since: number;
  readonly onData: () => void;
}

/**
 * Keep-alive connections to one runner. Bytes that arrive on an idle connection belong to no request, so
 * the connection is closed. Idle connections are also closed before the runner would close them.
 */
export class RunnerAgent extends Agent {
  readonly #idle = new WeakMap<Socket, IdleState>();
  #idleMs = DEFAULT_IDLE_MS;
  #isRetired = false;

  constructor({ maxSockets }: RunnerAgentOptions) {
    super({ keepAlive: true, maxSockets, maxFreeSockets: maxSockets, scheduling: 'lifo' });
  }

  /** Applies the idle time-out from a runner's `Keep-Alive` header. */
  setKeepAlive(value: string): void {
    const seconds = /timeout=(\d+)/i.exec(value)?.[1];
    if (seconds !== undefined)
      this.#idleMs = timerDelayMs(Math.max(MIN_IDLE_MS, Number(seconds) * MS_PER_S * IDLE_SHARE));
  }

  override createConnection(options: TcpNetConnectOpts): Socket {
    const socket = new SlicedSocket(options).connect(options);
    limitConnectTime(socket, CONNECT_TIMEOUT_MS);
    return socket;
  }

  override keepSocketAlive(socket: Socket): boolean {
    if (this.#isRetired || socket.readableLength > 0) return false;
    const onData = (): void => {
      socket.destroy();
    };
    const closeTimer = setTimeout(onData, this.#idleMs);
    closeTimer.unref();
    this.#idle.set(socket, { closeTimer, since: performance.now(), onData });
    socket.on('data', onData);
    socket.ref();
    return true;
  }

  override reuseSocket(socket: Socket, request: ClientRequest): void {
    const state = this.#idle.get(socket);
    if (state) {
      clearTimeout(state.closeTimer);
      socket.off('data', state.onData);
      this.#idle.delete(socket);
    }
    super.reuseSocket(socket, request);
  }

  /** A connection is open and has no request in progress. */
  get hasIdle(): boolean {
    return Object.values(this.freeSockets).some((sockets) => {
      return sockets?.some((socket) => !socket.destroyed) ?? false;
    });
  }

  /** Closes idle connections, now and from now on; requests in progress continue. */
  retire(): void {
    this.#isRetired = true;
    this.closeIdle();
  }

  /** Closes the connections that are idle now. */
  closeIdle(): void {
    closeIdleSockets(this);
  }
}
