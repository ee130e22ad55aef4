import { randomUUID } from 'node:crypto';
import type { SnapshotWriterOptions } from '../types/snapshot-writer-options.ts';
import { splitSnapshot } from '../utils/split-snapshot.ts';

const MAX_AGE_MS = 3_600_000;
const MAX_RECORDS = 5_000;
const PART_BYTES = 128 * 1024;
const WRITE_TIMEOUT_MS = 30_000;

/**
 * Appends snapshots of a stream's state to the stream, well before the records that they replace
 * expire.
 */
export class SnapshotWriter {
  readonly #options: SnapshotWriterOptions;
  #isWriting = false;

  constructor(options: SnapshotWriterOptions) {
    this.#options = options;
  }

  /** True when there is no snapshot, the newest one is too old, or too many records follow it. */
  get due(): boolean {
    const { source, clock, maxAgeMs = MAX_AGE_MS, maxRecords = MAX_RECORDS } = this.#options;
    if (!source.caughtUp || source.next === 0) return false;
    const mark = source.newestSnapshot;
    if (!mark) return true;
    return clock.wall() - mark.time >= maxAgeMs || source.next - mark.next >= maxRecords;
  }

  /**
   * Writes a snapshot if one is due; returns whether it did.
   * The node that holds the snapshot job calls this periodically; concurrent writers are harmless.
   */
  async writeIfDue(): Promise<boolean> {
    if (this.#isWriting || !this.due) return false;
    this.#isWriting = true;
    try {
      await this.#write();
      return true;
    } finally {
      this.#isWriting = false;
    }
  }

  async #write(): Promise<void> {
    const { source, writer, partBytes = PART_BYTES, timeoutMs = WRITE_TIMEOUT_MS } = this.#options;
    const id = randomUUID();
    for (const part of splitSnapshot(source.snapshot(), { id, partBytes })) {
      await writer.write(part, { id: `${id}/${part.index}`, timeoutMs });
    }
  }
}
