import type { ClientRequest, IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import type { ConnectionState } from '../types/connection-state.ts';
import type { ResponseFraming } from '../types/response-framing.ts';

/**
 * Observes how the connection of a request ends. A response without a length ends when its connection
 * closes, and a reset that arrives together with data is reported as a regular end. Only after a reset
 * is the remote address no longer set.
 */
export class ConnectionMonitor {
  #state: ConnectionState = 'open';
  #response: IncomingMessage | undefined;
  /** The connection ended before the parser had seen the end of the body. */
  #hasEndedBody = false;

  /** Has to be created before the connection of `request` is assigned. */
  constructor(request: ClientRequest) {
    request.once('response', (response) => {
      this.#response = response;
    });
    request.once('socket', (socket) => {
      this.#watch(request, socket);
    });
  }

  get state(): ConnectionState {
    return this.#state;
  }

  /**
   * Whether the framing of the body has ended. Where the end of the connection completes a body that has a
   * length or chunks by its head, the parser has not understood the head, and the body has their sizes in it.
   */
  hasFramingEnded(framing: ResponseFraming): boolean {
    const isComplete = this.#response?.complete ?? false;
    return isComplete && (framing === 'connection' || !this.#hasEndedBody);
  }

  #watch(request: ClientRequest, socket: Socket): void {
    const onEnd = (): void => {
      this.#hasEndedBody = this.#response?.complete === false;
      this.#state = socket.remoteAddress === undefined ? 'reset' : 'closed';
    };
    socket.prependListener('end', onEnd);
    request.once('close', () => {
      socket.off('end', onEnd);
    });
  }
}
