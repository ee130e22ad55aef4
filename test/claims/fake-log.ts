import type { Entry } from '@ragwortrudder/log';
import type { ClaimEntry } from '@ragwortrudder/claims';

const ENTRIES_PER_RECORD = 1024;
const ENTRY_INTERVAL_MS = 10;

/** Ordered list of entries, one per record. */
export class FakeLog {
  readonly #entries: Entry[] = [];
  #down = false;
  readonly #waiters: (() => void)[] = [];

  get down(): boolean {
    return this.#down;
  }

  set down(down: boolean) {
    this.#down = down;
    if (down) return;
    for (const resume of this.#waiters.splice(0)) resume();
  }

  /** Resolves once the log is available. */
  async up(): Promise<void> {
    if (!this.#down) return;
    await new Promise<void>((resolve) => this.#waiters.push(resolve));
  }

  get entries(): readonly Entry[] {
    return this.#entries;
  }

  push(body: ClaimEntry): Entry {
    const offset = this.#entries.length;
    const position = offset * ENTRIES_PER_RECORD;
    const time = offset * ENTRY_INTERVAL_MS;
    const entry = { position, offset, id: `entry-${offset}`, time, body };
    this.#entries.push(entry);
    return entry;
  }
}
