import type { Position } from './position.ts';
import type { WriteOptions } from './write-options.ts';

/** Writes entries to one stream. */
export interface Writer {
  /**
   * Resolves with the position of the entry once it has been read back from the log.
   * Rejects with `WriteAbandoned` on timeout and with `WriteQueueFull` when the queue is full.
   */
  write(body: unknown, options?: WriteOptions): Promise<Position>;
}
