import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { ConnectionEnd } from '../types/connection-end.ts';

/** Time for which a connection is read after its last response, so that the caller can receive it. */
const LINGER_MS = 1_000;
/**
 * Maximum time for which a request may have waited unread when its idle connection is closed, in
 * milliseconds: half of the time in which a request may cross the close of its connection.
 */
const MAX_UNREAD_MS = 100;

/**
 * Connection of a caller. Its requests are served one after the other, and it is closed only between
 * them.
 */
export class CallerConnection {
  readonly #socket: Socket;
  #requestCount = 0;
  #newest: IncomingMessage | undefined;
  #lastResponse: Promise<void> = Promise.resolve();
  /** Bytes that had been received at the end of the newest request. */
  #receivedBytes = 0;
  #end: ConnectionEnd | undefined;
  /** Request that was answered before it had arrived completely. */
  #refused: IncomingMessage | undefined;
  #hasCallerLeft = false;

  constructor(socket: Socket) {
    this.#socket = socket;
    socket.once('end', () => {
      this.#hasCallerLeft = true;
    });
  }

  /** Requests whose responses have not been sent completely. */
  get requestCount(): number {
    return this.#requestCount;
  }

  /** A response can be sent. */
  get isOpen(): boolean {
    return this.#socket.writable && !this.#hasCallerLeft;
  }

  /** Why no further request is taken; undefined while the connection is kept. */
  get endCause(): string | undefined {
    if (this.#end) return this.#end.cause;
    if (this.#hasCallerLeft || this.#socket.errored) return 'caller-left';
    if (this.#socket.destroyed) return 'response-aborted';
    return this.#socket.writable ? undefined : 'response-ended';
  }

  /** The request was answered before it had arrived completely; its rest may still arrive. */
  hasRefused(message: IncomingMessage): boolean {
    return this.#refused === message;
  }

  /** Adds a request; settles when the responses to the earlier ones have ended. */
  addRequest(message: IncomingMessage, response: ServerResponse): Promise<void> {
    const turn = this.#lastResponse;
    this.#newest = message;
    this.#requestCount += 1;
    message.once('end', () => {
      this.#receivedBytes = this.#socket.bytesRead;
    });
    this.#lastResponse = new Promise((resolve) => {
      const settle = (): void => {
        response.off('close', settle);
        this.#socket.off('close', settle);
        this.#requestCount -= 1;
        this.#finish();
        resolve();
      };
      response.once('close', settle);
      this.#socket.once('close', settle);
    });
    return turn;
  }

  /**
   * Ends the connection once the complete requests that it has received are answered. A request that is
   * still arriving is answered with `response`.
   */
  end(end: ConnectionEnd): void {
    this.#end ??= end;
    if (this.#socket.writable) this.#finish();
    else this.#socket.destroy();
  }

  /** Closes the connection if no request is in progress or has begun to arrive. */
  closeIfIdle(cause: string): void {
    const startedAt = performance.now();
    // A request that arrived during a stall of the process is read first.
    setImmediate(() => {
      const isArriving = this.#socket.bytesRead !== this.#receivedBytes;
      if (this.#requestCount > 0 || isArriving || this.#socket.destroyed) return;
      // One that arrived while other connections were handled is read in the next turn.
      if (performance.now() - startedAt > MAX_UNREAD_MS) this.closeIfIdle(cause);
      else this.destroy(cause);
    });
  }

  /** Closes the connection, together with its requests in progress. */
  destroy(cause: string): void {
    this.#end ??= { cause };
    this.#socket.destroy();
  }

  #finish(): void {
    const incomplete = this.#newest && !this.#newest.complete ? 1 : 0;
    if (!this.#end || this.#requestCount > incomplete || !this.#socket.writable) return;
    if (incomplete > 0 && this.#end.response !== undefined) this.#refused = this.#newest;
    this.#socket.end(this.#end.response ?? '');
    const timer = setTimeout(() => {
      this.#socket.destroy();
    }, LINGER_MS);
    this.#socket.once('close', () => {
      clearTimeout(timer);
    });
  }
}
