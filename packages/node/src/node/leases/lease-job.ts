import type { LeaseHolder, LeaseRecord } from '@ragwortrudder/leases';

/** Time after the end of a lease as seen here before the job counts as free. */
const EXPIRY_MARGIN_MS = 500;

interface LeaseJobOptions {
  readonly job: string;
  readonly holder: LeaseHolder;
  /** Length of a lease in milliseconds. */
  readonly leaseMs: number;
  /** Monotonic time in milliseconds. */
  readonly now: number;
}

/** One job that this node is to hold: its holder, and since when the job has been free. */
export class LeaseJob {
  readonly job: string;
  readonly holder: LeaseHolder;
  readonly #leaseMs: number;
  /** The lease that the log shows now, and when it was seen first. */
  #lastLease = '';
  #lastChangeAt: number;
  #nextRequestAt = -Infinity;
  #reportedState: string;

  constructor({ job, holder, leaseMs, now }: LeaseJobOptions) {
    this.job = job;
    this.holder = holder;
    this.#leaseMs = leaseMs;
    this.#lastChangeAt = now;
    this.#reportedState = holder.state;
  }

  /** Takes note of the last lease by the log. */
  observe(record: LeaseRecord | undefined, now: number): void {
    const lease = record ? `${record.grantedBy}/${record.released}` : '';
    if (lease === this.#lastLease) return;
    this.#lastLease = lease;
    this.#lastChangeAt = now;
    this.#nextRequestAt = -Infinity;
  }

  /** True when the job has been free for `patienceMs` and was not asked for just now. */
  isFree(record: LeaseRecord | undefined, now: number, minFreeMs: number): boolean {
    const isLeased = record !== undefined && !record.released;
    const freeAt = this.#lastChangeAt + (isLeased ? this.#leaseMs + EXPIRY_MARGIN_MS : 0);
    return now >= freeAt + minFreeMs && now >= this.#nextRequestAt;
  }

  /** Notes that the job was asked for: unless a lease is seen, it is asked for again only later. */
  markRequested(now: number): void {
    this.#nextRequestAt = now + this.#leaseMs / 2;
  }

  /** The state of the holder if it changed since the last call. */
  takeStateChange(): string | undefined {
    const { state } = this.holder;
    if (state === this.#reportedState) return undefined;
    this.#reportedState = state;
    return state;
  }
}
