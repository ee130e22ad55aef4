import { connect } from 'node:net';
import type { Socket } from 'node:net';
import type { RelayMode } from '../types/relay-mode.ts';

interface Link {
  readonly mode: RelayMode;
  readonly delayMs: number;
  /** Counts bytes that were not passed on. */
  countLost(bytes: number): void;
}
type Direction = 'request' | 'reply';

/** Mode in which the bytes of a direction are lost. */
const LOSING_MODE: Readonly<Record<Direction, RelayMode>> = {
  request: 'one-way-reply-only',
  reply: 'one-way-request-only',
};

/** Connection that a relay passes on; a direction that lost bytes stays lost. */
export class RelayConnection {
  readonly #client: Socket;
  readonly #target: Socket;
  readonly #link: Link;
  readonly #lost: Record<Direction, boolean> = { request: false, reply: false };
  readonly #due: Record<Direction, number> = { request: 0, reply: 0 };
  readonly #timers = new Set<NodeJS.Timeout>();

  constructor(client: Socket, address: string, link: Link) {
    const [host = '127.0.0.1', port = '0'] = address.split(':');
    this.#client = client;
    this.#link = link;
    this.#target = connect({ host, port: Number(port), allowHalfOpen: true });
    this.#pass('request', this.#client, this.#target);
    this.#pass('reply', this.#target, this.#client);
  }

  /** Loses everything from now on, in both directions, without closing. */
  freeze(): void {
    this.#lost.request = true;
    this.#lost.reply = true;
  }

  destroy(): void {
    for (const timer of this.#timers) clearTimeout(timer);
    this.#client.destroy();
    this.#target.destroy();
  }

  #pass(direction: Direction, from: Socket, to: Socket): void {
    from.setNoDelay(true);
    from.on('data', (chunk: Buffer) => {
      this.#deliver(direction, chunk.length, () => {
        if (to.write(chunk)) return;
        from.pause();
        to.once('drain', () => from.resume());
      });
    });
    from.on('end', () => {
      this.#deliver(direction, 0, () => to.end());
    });
    from.on('error', () => {
      this.#deliver(direction, 0, () => to.destroy());
    });
    from.on('close', () => {
      this.#deliver(direction, 0, () => {
        to.destroySoon();
      });
    });
  }

  #deliver(direction: Direction, bytes: number, action: () => void): void {
    const { mode, delayMs } = this.#link;
    if (mode === LOSING_MODE[direction]) this.#lost[direction] = true;
    if (this.#lost[direction]) {
      this.#link.countLost(bytes);
      return;
    }
    const now = performance.now();
    const due = Math.max(this.#due[direction], now + delayMs);
    this.#due[direction] = due;
    if (due <= now) {
      action();
      return;
    }
    const timer = setTimeout(() => {
      this.#timers.delete(timer);
      if (!this.#lost[direction]) action();
    }, due - now);
    this.#timers.add(timer);
  }
}
