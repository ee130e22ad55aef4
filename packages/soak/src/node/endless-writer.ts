import type { Socket } from 'node:net';
import { resetConnection } from '@ragwortrudder/core';
import type { Closeable } from '@ragwortrudder/core';
import type { EndlessBytes } from '../types/endless-bytes.ts';

/** Bytes a second over all connections: what the link of a VM carries, 140 Mbit/s. */
const BYTES_PER_S = 17_500_000;
const TICK_MS = 10;
const MS_PER_S = 1_000;
/** Maximum time for which bytes go to one connection, in milliseconds; longer than any request may take. */
const MAX_MS = 8_000;

interface Connection {
  readonly block: Buffer;
  readonly until: number;
}

/**
 * Writes bytes without end to connections, until they close or for a limited time. All connections
 * share one rate, and a connection holds one block at most that its peer has not taken yet. They end
 * with a reset, as an orderly close would complete a body without framing.
 */
export class EndlessWriter implements Closeable {
  readonly #connections = new Map<Socket, Connection>();
  #timer: NodeJS.Timeout | undefined;
  /** What the rate allows in this tick; negative by what the last block was beyond it. */
  #leftBytes = 0;

  /** Begins to write to a connection. */
  write(socket: Socket, { head, block }: EndlessBytes): void {
    const end = (): void => {
      socket.destroy();
      this.#connections.delete(socket);
    };
    socket.on('error', end);
    socket.once('end', end);
    socket.once('close', end);
    if (head !== '') socket.write(head);
    this.#connections.set(socket, { block, until: performance.now() + MAX_MS });
    this.#timer ??= setInterval(() => {
      this.#writeBlocks();
    }, TICK_MS);
  }

  /** Number of connections that still take bytes. */
  get connections(): number {
    return this.#connections.size;
  }

  close(): Promise<void> {
    clearInterval(this.#timer);
    for (const socket of this.#connections.keys()) resetConnection(socket);
    this.#connections.clear();
    return Promise.resolve();
  }

  /** Writes what the rate allows in one tick, by turns. */
  #writeBlocks(): void {
    this.#leftBytes = Math.min(0, this.#leftBytes) + (BYTES_PER_S * TICK_MS) / MS_PER_S;
    for (;;) {
      const startBytes = this.#leftBytes;
      for (const [socket, connection] of [...this.#connections]) {
        if (performance.now() > connection.until) resetConnection(socket);
        if (socket.destroyed || socket.writableNeedDrain) continue;
        if (this.#leftBytes <= 0) return;
        socket.write(connection.block);
        this.#leftBytes -= connection.block.length;
        // Its next turn comes after those of all others.
        this.#connections.delete(socket);
        this.#connections.set(socket, connection);
      }
      if (this.#leftBytes === startBytes) return;
    }
  }
}
