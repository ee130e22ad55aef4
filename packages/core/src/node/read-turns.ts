import type { Socket } from 'node:net';

/** Time that reads of responses may take in one turn of the event loop, in milliseconds. */
const MAX_TURN_MS = 10;

/** Socket whose response is being read. */
class TurnTaker {
  readonly socket: Socket;
  /** Time that its reads have taken, in milliseconds. */
  usedMs = 0;
  /** It is held back until a later turn. */
  isHeld = false;
  #mustResume = false;
  #waiters: (() => void)[] = [];

  constructor(socket: Socket) {
    this.socket = socket;
  }

  /** It has used up the time of a whole turn, and waits for others from now on. */
  get isHeavy(): boolean {
    return this.usedMs >= MAX_TURN_MS;
  }

  hold(): void {
    if (this.isHeld) return;
    this.isHeld = true;
    this.#mustResume = !this.socket.isPaused();
    this.socket.pause();
  }

  /** Settles once it is released. Reading from its response has resumed the socket. */
  async wait(): Promise<void> {
    if (!this.isHeld) return;
    this.#mustResume ||= !this.socket.isPaused();
    this.socket.pause();
    await new Promise<void>((resolve) => this.#waiters.push(resolve));
  }

  release(): void {
    if (!this.isHeld) return;
    this.isHeld = false;
    if (this.#mustResume) this.socket.resume();
    for (const settle of this.#waiters.splice(0)) settle();
  }
}

/**
 * Shares the event loop between the responses that are being read and all other work. When reads have
 * used up the time of a turn, as those of bodies in very small chunks do, all of these sockets are held
 * back. Of the sockets that used as much by themselves, one is read in each of the next turns.
 */
class ReadTurns {
  /** In the order in which they were read. */
  readonly #takers = new Map<Socket, TurnTaker>();
  #usedMs = 0;
  #isScheduled = false;

  /** Includes a socket whose response will be read. */
  add(socket: Socket): void {
    const taker = new TurnTaker(socket);
    this.#takers.set(socket, taker);
    if (this.#usedMs >= MAX_TURN_MS) taker.hold();
  }

  remove(socket: Socket): void {
    this.#takers.get(socket)?.release();
    this.#takers.delete(socket);
  }

  /** Accounts for the time of one read in this turn. */
  recordRead(socket: Socket, ms: number): void {
    const taker = this.#takers.get(socket);
    if (taker) taker.usedMs += ms;
    this.#usedMs += ms;
    this.#schedule();
    if (this.#usedMs < MAX_TURN_MS) return;
    for (const other of this.#takers.values()) other.hold();
  }

  /** Settles when `socket` may be read. */
  async wait(socket: Socket): Promise<void> {
    await this.#takers.get(socket)?.wait();
  }

  #schedule(): void {
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    setImmediate(() => {
      this.#isScheduled = false;
      this.#usedMs = 0;
      this.#releaseNext();
    });
  }

  #releaseNext(): void {
    const held = [...this.#takers.values()].filter(({ isHeld }) => isHeld);
    if (held.length === 0) return;
    for (const taker of held) if (!taker.isHeavy) taker.release();
    const next = held.find(({ isHeavy }) => isHeavy);
    if (next) {
      next.release();
      this.#takers.delete(next.socket);
      this.#takers.set(next.socket, next);
    }
    this.#schedule();
  }
}

/** The turns of this process. */
export const readTurns = new ReadTurns();
