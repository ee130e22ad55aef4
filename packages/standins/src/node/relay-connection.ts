import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { resetConnection } from '@ragwortrudder/core';
import type { RelayMode } from '../types/relay-mode.ts';

interface Link {
  readonly mode: RelayMode;
  readonly delayMs: number;
  /** Counts bytes that were dropped instead of being forwarded. */
  recordLostBytes(bytes: number): void;
}
type Direction = 'request' | 'reply';

interface QueuedDelivery {
  readonly due: number;
  readonly action: () => void;
}

/** Mode that drops the bytes of a direction. */
const DROPPING_MODE: Readonly<Record<Direction, RelayMode>> = {
  request: 'one-way-reply-only',
  reply: 'one-way-request-only',
};

/** Connection forwarded by a relay. Once a direction has dropped bytes, it drops all later ones too. */
export class RelayConnection {
  readonly #client: Socket;
  readonly #target: Socket;
  readonly #link: Link;
  readonly #dropping: Record<Direction, boolean> = { request: false, reply: false };
  #isPaused = false;
  readonly #queues: Record<Direction, QueuedDelivery[]> = { request: [], reply: [] };
  readonly #timers: Record<Direction, NodeJS.Timeout | undefined> = {
    request: undefined,
    reply: undefined,
  };

  constructor(client: Socket, address: string, link: Link) {
    const [host = '127.0.0.1', port = '0'] = address.split(':');
    this.#client = client;
    this.#link = link;
    this.#target = connect({ host, port: Number(port), allowHalfOpen: true });
    this.#forward('request', this.#client, this.#target);
    this.#forward('reply', this.#target, this.#client);
    this.setPaused(link.mode === 'paused');
  }

  /** Stops reading in both directions, or goes on; bytes that arrive meanwhile wait. */
  setPaused(isPaused: boolean): void {
    if (isPaused === this.#isPaused) return;
    this.#isPaused = isPaused;
    for (const socket of [this.#client, this.#target]) {
      if (isPaused) socket.pause();
      else socket.resume();
    }
  }

  /** Drops all further bytes in both directions without closing the connection. */
  freeze(): void {
    this.#dropping.request = true;
    this.#dropping.reply = true;
  }

  destroy(): void {
    clearTimeout(this.#timers.request);
    clearTimeout(this.#timers.reply);
    // An orderly close would mark the end of a response without framing.
    resetConnection(this.#client);
    resetConnection(this.#target);
  }

  #forward(direction: Direction, from: Socket, to: Socket): void {
    from.setNoDelay(true);
    from.on('data', (chunk: Buffer) => {
      this.#enqueue(direction, chunk.length, () => {
        if (to.write(chunk)) return;
        from.pause();
        to.once('drain', () => {
          if (!this.#isPaused) from.resume();
        });
      });
    });
    from.on('end', () => {
      // A reset that arrives together with data ends the stream; only then is the address gone.
      const wasReset = from.remoteAddress === undefined;
      this.#enqueue(direction, 0, () => {
        if (wasReset) resetConnection(to);
        else to.end();
      });
    });
    from.on('error', () => {
      this.#enqueue(direction, 0, () => {
        resetConnection(to);
      });
    });
    from.on('close', () => {
      this.#enqueue(direction, 0, () => {
        to.destroySoon();
      });
    });
  }

  #enqueue(direction: Direction, bytes: number, action: () => void): void {
    const { mode, delayMs } = this.#link;
    if (mode === DROPPING_MODE[direction]) this.#dropping[direction] = true;
    if (this.#dropping[direction]) {
      this.#link.recordLostBytes(bytes);
      return;
    }
    this.#queues[direction].push({ due: performance.now() + delayMs, action });
    this.#deliverDue(direction);
  }

  /** Delivers due chunks in order of arrival, so that nothing overtakes earlier chunks when the delay is reduced. */
  #deliverDue(direction: Direction): void {
    clearTimeout(this.#timers[direction]);
    const queue = this.#queues[direction];
    for (let next = queue[0]; next; next = queue[0]) {
      const waitMs = next.due - performance.now();
      if (waitMs > 0) {
        this.#timers[direction] = setTimeout(() => {
          this.#deliverDue(direction);
        }, waitMs);
        return;
      }
      queue.shift();
      if (!this.#dropping[direction]) next.action();
    }
  }
}
