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

interface Delivery {
  readonly due: number;
  readonly action: () => void;
}

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
  readonly #queues: Record<Direction, Delivery[]> = { request: [], reply: [] };
  readonly #timers: Record<Direction, NodeJS.Timeout | undefined> = {
    request: undefined,
    reply: undefined,
  };

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
    clearTimeout(this.#timers.request);
    clearTimeout(this.#timers.reply);
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
    this.#queues[direction].push({ due: performance.now() + delayMs, action });
    this.#run(direction);
  }

  /** Delivers what is due, in the order in which it came: a delay that ends lets nothing pass. */
  #run(direction: Direction): void {
    clearTimeout(this.#timers[direction]);
    const queue = this.#queues[direction];
    for (let next = queue[0]; next; next = queue[0]) {
      const waitMs = next.due - performance.now();
      if (waitMs > 0) {
        this.#timers[direction] = setTimeout(() => {
          this.#run(direction);
        }, waitMs);
        return;
      }
      queue.shift();
      if (!this.#lost[direction]) next.action();
    }
  }
}
