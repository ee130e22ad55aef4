import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { ConnectionEnd } from '../types/connection-end.ts';
import { exceedsFramingLimit } from '../utils/exceeds-framing-limit.ts';
import type { ReadTurns } from '../utils/read-turns.ts';
import { PacedReader } from './paced-reader.ts';

/** Time for which a connection is read after its last response, so that the caller can receive it. */
const LINGER_MS = 1_000;
/**
 * Maximum time for which a request may have waited unread when its idle connection is closed, in
 * milliseconds: half of the time in which a request may cross the close of its connection.
 */
const MAX_UNREAD_MS = 100;
/** Framing of any request: its head, or a body of 64 KB in chunks of one byte. */
const MAX_FRAMING_BYTES = 256 * 1024;

/**
 * Connection of a caller. Its requests are served one after the other, and it is closed only between
 * them.
 */
export class CallerConnection {
  readonly #socket: Socket;
  readonly #reader: PacedReader;
  #requestCount = 0;
  #newest: IncomingMessage | undefined;
  #lastResponse: Promise<void> = Promise.resolve();
  /** Bytes that had been received at the end of the newest request. */
  #receivedBytes = 0;
  /** Bytes that had been received when the newest request began to be read, or was whole. */
  #bytesBefore = 0;
  /** Bytes of bodies since then. */
  #bodyBytes = 0;
  /** Bytes that had been received when the newest piece of a body arrived. */
  #readBytes = 0;
  #end: ConnectionEnd | undefined;
  /** Request that was answered before it had arrived completely. */
  #refused: IncomingMessage | undefined;
  #hasCallerLeft = false;

  constructor(socket: Socket, turns: ReadTurns) {
    this.#socket = socket;
    this.#reader = new PacedReader({ socket, turns });
    socket.once('close', () => {
      this.#reader.close();
    });
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

  /** More of what is arriving is framing than a sound caller needs. */
  get exceedsFraming(): boolean {
    const wireBytes = this.#socket.bytesRead - this.#bytesBefore;
    return exceedsFramingLimit({
      baseBytes: MAX_FRAMING_BYTES,
      wireBytes,
      bodyBytes: this.#bodyBytes,
    });
  }

  /** Handles a piece of a body; the connection waits for its turn if its pieces cost much. */
  receive(bytes: Buffer, handle: (bytes: Buffer) => void): void {
    const { bytesRead } = this.#socket;
    if (bytesRead !== this.#readBytes) {
      this.#readBytes = bytesRead;
      this.#reader.begin();
    }
    this.#bodyBytes += bytes.length;
    handle(bytes);
    this.#reader.end();
  }

  /** Adds a request; settles when the responses to the earlier ones have ended. */
  addRequest(message: IncomingMessage, response: ServerResponse): Promise<void> {
    const turn = this.#lastResponse;
    this.#newest = message;
    this.#requestCount += 1;
    this.#awaitBytes();
    message.once('end', () => {
      this.#receivedBytes = this.#socket.bytesRead;
      this.#awaitBytes();
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

  #awaitBytes(): void {
    this.#bytesBefore = this.#socket.bytesRead;
    this.#bodyBytes = 0;
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
