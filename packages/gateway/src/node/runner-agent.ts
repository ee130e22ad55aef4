import { Agent } from 'node:http';
import type { ClientRequest } from 'node:http';
import type { Socket } from 'node:net';

interface RunnerAgentOptions {
  /** Connections that may be open at once. */
  readonly maxSockets: number;
}

const MS_PER_S = 1_000;
/** Part of a runner's idle time-out during which a kept connection is used again. */
const IDLE_SHARE = 0.7;
/** Idle time after which a kept connection is closed when the runner does not state its time-out, in milliseconds. */
const UNSTATED_IDLE_MS = 2_000;
/** Time to open a connection, in milliseconds: many round trips between failure domains, and far below a latency target. */
const CONNECT_TIMEOUT_MS = 250;

interface IdleState {
  readonly closer: NodeJS.Timeout;
  readonly since: number;
  readonly onData: () => void;
}

/**
 * Kept connections to one runner. Bytes on an idle connection belong to no request, so they close
 * it; idle connections are closed before the runner does.
 */
export class RunnerAgent extends Agent {
  readonly #idle = new WeakMap<Socket, IdleState>();
  #idleMs = UNSTATED_IDLE_MS;
  #isRetired = false;

  constructor({ maxSockets }: RunnerAgentOptions) {
    super({ keepAlive: true, maxSockets, maxFreeSockets: maxSockets, scheduling: 'lifo' });
  }

  /** Takes in the value of a runner's `Keep-Alive` header. */
  setKeepAlive(value: string): void {
    const seconds = /timeout=(\d+)/i.exec(value)?.[1];
    if (seconds !== undefined)
      this.#idleMs = Math.max(100, Number(seconds) * MS_PER_S * IDLE_SHARE);
  }

  override createConnection(
    ...args: Parameters<Agent['createConnection']>
  ): ReturnType<Agent['createConnection']> {
    const socket = super.createConnection(...args);
    if (socket && 'connecting' in socket) {
      const timer = setTimeout(() => {
        socket.destroy(new Error('connect timed out'));
      }, CONNECT_TIMEOUT_MS);
      socket.once('connect', () => {
        clearTimeout(timer);
      });
      socket.once('close', () => {
        clearTimeout(timer);
      });
    }
    return socket;
  }

  override keepSocketAlive(socket: Socket): boolean {
    if (this.#isRetired || socket.readableLength > 0) return false;
    const onData = (): void => {
      socket.destroy();
    };
    const closer = setTimeout(onData, this.#idleMs);
    closer.unref();
    this.#idle.set(socket, { closer, since: performance.now(), onData });
    socket.on('data', onData);
    socket.ref();
    return true;
  }

  override reuseSocket(socket: Socket, request: ClientRequest): void {
    const state = this.#idle.get(socket);
    if (state) {
      clearTimeout(state.closer);
      socket.off('data', state.onData);
      this.#idle.delete(socket);
    }
    super.reuseSocket(socket, request);
  }

  /** Closes connections once they are idle; requests in progress go on. */
  retire(): void {
    this.#isRetired = true;
    for (const sockets of Object.values(this.freeSockets)) {
      for (const socket of sockets ?? []) socket.destroy();
    }
  }
}
