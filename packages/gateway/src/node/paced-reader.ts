import type { Socket } from 'node:net';
import type { Reader } from '../types/reader.ts';
import type { ReadTurns } from '../utils/read-turns.ts';

interface PacedReaderOptions {
  readonly socket: Socket;
  readonly turns: ReadTurns;
  /** Called when the connection is read again, with the time for which it was not, in milliseconds. */
  readonly onRelease?: ((heldMs: number) => void) | undefined;
}

/** Time from which what a read has caused is costly, in milliseconds. */
const COSTLY_READ_MS = 2;
/** Longest time that a read is taken to have cost; pieces of one read can be handled long after it. */
const MAX_COST_MS = 50;

/** Measures what the reads of a connection cost, and holds it back until its turn when that is much. */
export class PacedReader implements Reader {
  readonly #options: PacedReaderOptions;
  #startedAt = 0;
  #heldSince: number | undefined;
  #wantsBytes = false;

  constructor(options: PacedReaderOptions) {
    this.#options = options;
  }

  /** The connection waits for its turn to be read. */
  get isHeld(): boolean {
    return this.#heldSince !== undefined;
  }

  /** Called before the bytes of a read are handled. */
  begin(): void {
    this.#startedAt = performance.now();
  }

  /** Called when bytes have been handled; a read can have many pieces. */
  end(): void {
    const now = performance.now();
    const costMs = now - this.#startedAt;
    if (costMs < COSTLY_READ_MS) return;
    this.#startedAt = now;
    this.#options.turns.addCost(Math.min(costMs, MAX_COST_MS));
    this.#options.turns.hold(this);
  }

  hold(): void {
    const { socket } = this.#options;
    this.#heldSince = performance.now();
    this.#wantsBytes = true;
    socket.pause();
    // The streams of messages read their connection on whenever they have room.
    socket.pause = () => {
      this.#wantsBytes = false;
      return socket;
    };
    socket.resume = () => {
      this.#wantsBytes = true;
      return socket;
    };
  }

  release(): void {
    if (this.#heldSince === undefined) return;
    const { socket, onRelease } = this.#options;
    const heldMs = performance.now() - this.#heldSince;
    this.#heldSince = undefined;
    Reflect.deleteProperty(socket, 'pause');
    Reflect.deleteProperty(socket, 'resume');
    if (this.#wantsBytes) socket.resume();
    onRelease?.(heldMs);
  }

  /** Ends the pacing; the connection may be used for something else. */
  close(): void {
    this.#options.turns.remove(this);
  }
}
