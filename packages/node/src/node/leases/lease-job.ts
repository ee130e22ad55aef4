import type { LeaseHolder, LeaseRecord } from '@ragwortrudder/leases';

/** Time after the locally computed end of a lease before the job counts as free. */
const EXPIRY_MARGIN_MS = 500;

interface LeaseJobOptions {
  readonly job: string;
  readonly holder: LeaseHolder;
  /** Duration of a lease in milliseconds. */
  readonly leaseMs: number;
  /** Current monotonic time in milliseconds. */
  readonly now: number;
}

/** One job whose lease this node tries to hold: its lease holder, and how long it has been free. */
export class LeaseJob {
  readonly job: string;
  readonly holder: LeaseHolder;
  readonly #leaseMs: number;
  /** Identity of the last lease in the log; `#lastChangeAt` is when it was first observed. */
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

  /** Records the last lease in the log. */
  observe(record: LeaseRecord | undefined, now: number): void {
    const lease = record ? `${record.grantedBy}/${record.released}` : '';
    if (lease === this.#lastLease) return;
    this.#lastLease = lease;
    this.#lastChangeAt = now;
    this.#nextRequestAt = -Infinity;
  }

  /** True if the job has been free for `minFreeMs` and was not requested recently. */
  isFree(record: LeaseRecord | undefined, now: number, minFreeMs: number): boolean {
    const isLeased = record !== undefined && !record.released;
    const freeAt = this.#lastChangeAt + (isLeased ? this.#leaseMs + EXPIRY_MARGIN_MS : 0);
    return now >= freeAt + minFreeMs && now >= this.#nextRequestAt;
  }

  /**
   * Records that the lease was requested. Unless the log shows a change, it is requested again only
   * after half the lease duration.
   */
  markRequested(now: number): void {
    this.#nextRequestAt = now + this.#leaseMs / 2;
  }

  /** State of the lease holder, if it changed since the last call. */
  takeStateChange(): string | undefined {
    const { state } = this.holder;
    if (state === this.#reportedState) return undefined;
    this.#reportedState = state;
    return state;
  }
}
