import type { ClientRequest } from 'node:http';
import type { Socket } from 'node:net';
import type { ConnectionState } from '../types/connection-state.ts';

/**
 * Observes how the connection of a request ends. A response without a length ends when its connection
 * closes, and a reset that arrives together with data is reported as a regular end. Only after a reset
 * is the remote address no longer set.
 */
export class ConnectionMonitor {
  #state: ConnectionState = 'open';

  /** Has to be created before the connection of `request` is assigned. */
  constructor(request: ClientRequest) {
    request.once('socket', (socket) => {
      this.#watch(request, socket);
    });
  }

  get state(): ConnectionState {
    return this.#state;
  }

  #watch(request: ClientRequest, socket: Socket): void {
    const onEnd = (): void => {
      this.#state = socket.remoteAddress === undefined ? 'reset' : 'closed';
    };
    socket.prependListener('end', onEnd);
    request.once('close', () => {
      socket.off('end', onEnd);
    });
  }
}
