import type { Address } from '@ragwortrudder/catalog';
import type { Clock, Closeable } from '@ragwortrudder/core';

interface PacedDatagramsOptions {
  readonly clock: Clock;
  /** Bytes that may be sent in a second. */
  readonly bytesPerSecond: number;
  readonly send: (bytes: Buffer, address: Address) => void;
}

interface Job {
  /** Tells jobs apart of which one is enough. */
  readonly key: string;
  readonly bytes: Buffer;
  readonly addresses: readonly Address[];
  /**
   * It goes before jobs that are not urgent.
   * @default false
   */
  readonly isUrgent?: boolean;
}

interface QueuedJob extends Job {
  readonly sent: number;
}

const MS_PER_S = 1_000;
/** Time between two groups of datagrams, in milliseconds: no other packet waits for longer than a group takes. */
const GROUP_PERIOD_MS = 20;
/** Bound of the jobs that wait. */
const MAX_JOBS = 256;

/** Sends datagrams to many addresses at a limited rate, in small groups, so that other traffic gets through. */
export class PacedDatagrams implements Closeable {
  readonly #options: PacedDatagramsOptions;
  readonly #groupBytes: number;
  #jobs: readonly QueuedJob[] = [];
  /** Bytes that may be sent now; negative after a datagram that was larger than a group. */
  #credit: number;
  #creditAt: number;
  #timer: NodeJS.Timeout | undefined;
  #isClosed = false;

  constructor(options: PacedDatagramsOptions) {
    this.#options = options;
    this.#groupBytes = this.bytesIn(GROUP_PERIOD_MS);
    this.#credit = this.#groupBytes;
    this.#creditAt = options.clock.monotonic();
  }

  /** Bytes that are sent within a time, in milliseconds. */
  bytesIn(ms: number): number {
    return (ms * this.#options.bytesPerSecond) / MS_PER_S;
  }

  /** Sends a job in turn; returns false for one that is dropped, because one of its key still waits. */
  add(job: Job): boolean {
    const isWaiting = this.#jobs.some(({ key }) => key === job.key);
    if (this.#isClosed || isWaiting || this.#jobs.length >= MAX_JOBS) return false;
    const queued = { ...job, sent: 0 };
    const urgent = this.#jobs.filter(({ isUrgent = false }) => isUrgent);
    const others = this.#jobs.filter(({ isUrgent = false }) => !isUrgent);
    this.#jobs = job.isUrgent ? [...urgent, queued, ...others] : [...urgent, ...others, queued];
    if (!this.#timer) this.#sendGroup();
    return true;
  }

  /** Drops what waits; nothing is sent afterwards. */
  close(): Promise<void> {
    this.#isClosed = true;
    clearTimeout(this.#timer);
    this.#timer = undefined;
    this.#jobs = [];
    return Promise.resolve();
  }

  #sendGroup(): void {
    this.#timer = undefined;
    this.#earnCredit();
    for (;;) {
      const [job, ...others] = this.#jobs;
      if (!job) return;
      const address = job.addresses[job.sent];
      if (!address) {
        this.#jobs = others;
        continue;
      }
      if (this.#credit <= 0) break;
      this.#credit -= job.bytes.length;
      this.#jobs = [{ ...job, sent: job.sent + 1 }, ...others];
      this.#options.send(job.bytes, address);
    }
    this.#timer = setTimeout(() => {
      this.#sendGroup();
    }, GROUP_PERIOD_MS);
  }

  #earnCredit(): void {
    const now = this.#options.clock.monotonic();
    const earned = this.bytesIn(now - this.#creditAt);
    this.#creditAt = now;
    this.#credit = Math.min(this.#groupBytes, this.#credit + earned);
  }
}
