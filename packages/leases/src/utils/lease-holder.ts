import { Chart, lease } from '@ragwortrudder/charts';
import type { LeaseHolderOptions } from '../types/lease-holder-options.ts';
import type { LeaseRecord } from '../types/lease-record.ts';
import type { LeaseState } from '../types/lease-state.ts';

const DEFAULT_DURATION_MS = 10_000;
const DEFAULT_MARGIN_MS = 2_000;
const DEFAULT_RENEW_BEFORE_MS = 4_000;
const DEFAULT_SETTLE_MS = 3_000;

/** A written `acquire` or `renew` entry whose effect has not been read back from the log yet. */
interface PendingGrant {
  readonly position: number;
  /** Monotonic time in milliseconds, taken before the entry was sent. */
  readonly sentAtMs: number;
}

/**
 * Acquires and keeps the lease of one job for one node. The holder measures the lease on its local
 * monotonic clock, starting before it sent the entry that the log granted, and stops acting a
 * safety margin before the end.
 */
export class LeaseHolder {
  readonly #options: Required<LeaseHolderOptions>;
  readonly #chart = new Chart(lease);
  #state: LeaseState | undefined;
  #pending: PendingGrant | undefined;
  #fence: number | undefined;
  #endsAtMs = 0;
  #settleUntilMs = 0;
  #isWriting = false;
  /** Incremented with every request and every end of a lease, so that late replies are ignored. */
  #term = 0;

  constructor(options: LeaseHolderOptions) {
    this.#options = {
      ...options,
      durationMs: options.durationMs ?? DEFAULT_DURATION_MS,
      marginMs: options.marginMs ?? DEFAULT_MARGIN_MS,
      renewBeforeMs: options.renewBeforeMs ?? DEFAULT_RENEW_BEFORE_MS,
      settleMs: options.settleMs ?? DEFAULT_SETTLE_MS,
    };
  }

  /** State in the state chart `lease`. */
  get state(): string {
    return this.#chart.state;
  }

  /** Fencing token of the held lease, which must be sent with each order. */
  get fence(): number | undefined {
    return this.#fence;
  }

  /**
   * Monotonic time in milliseconds before which no order may be sent to an engine that ignores
   * fencing tokens, because an order of the previous holder may still arrive there.
   */
  get settleUntil(): number {
    return this.#settleUntilMs;
  }

  /** True when {@link renew} should be called. */
  get isRenewalDue(): boolean {
    const renewAtMs = this.#stopsAtMs - this.#options.renewBeforeMs;
    return this.isHeld && !this.#isWriting && !this.#pending && this.#now() >= renewAtMs;
  }

  /** True from acquisition until the end of the lease on the local clock, including the safety margin. */
  get isHeld(): boolean {
    this.tick();
    return this.#fence !== undefined;
  }

  /** Returns whether the lease is certainly still valid. Must be checked immediately before each order. */
  mayAct(): boolean {
    this.tick();
    return this.state === 'held';
  }

  /** Like {@link mayAct}, for engines that ignore fencing tokens. */
  mayActUnfenced(): boolean {
    return this.mayAct() && this.#now() >= this.#settleUntilMs;
  }

  /** Requests the lease; the result is determined by {@link observe}. */
  async request(): Promise<void> {
    this.tick();
    this.#chart.send('REQUEST');
    this.#term += 1;
    const term = this.#term;
    const { job, holder, durationMs } = this.#options;
    try {
      await this.#writeGrant(() =>
        this.#options.write({ type: 'acquire', job, holder, durationMs }),
      );
    } catch (error) {
      if (term === this.#term) this.#lose();
      throw error;
    }
  }

  /** Extends the lease; has no effect if it is not held. */
  async renew(): Promise<void> {
    const fence = this.#fence;
    if (!this.isHeld || fence === undefined) return;
    const { job, holder, durationMs } = this.#options;
    await this.#writeGrant(() =>
      this.#options.write({ type: 'renew', job, holder, fence, durationMs }),
    );
  }

  /** Stops acting immediately, then releases the lease for other nodes. */
  async release(): Promise<void> {
    const fence = this.#fence;
    if (!this.isHeld || fence === undefined) return;
    this.#chart.send('RELEASE');
    this.#clear();
    const { job, holder } = this.#options;
    await this.#options.write({ type: 'release', job, holder, fence });
  }

  /** Applies the latest state folded from the log. */
  observe(state: LeaseState): void {
    this.#state = state;
    this.tick();
    this.#applyState();
  }

  /** Applies the local clock: stops acting at the safety margin and expires the lease at its end. */
  tick(): void {
    if (this.#fence === undefined) return;
    if (this.state === 'held' && this.#now() >= this.#stopsAtMs) this.#chart.send('APPROACH_END');
    if (this.state !== 'stopping' || this.#now() < this.#endsAtMs) return;
    this.#chart.send('EXPIRE');
    this.#clear();
  }

  get #stopsAtMs(): number {
    return this.#endsAtMs - this.#options.marginMs;
  }

  #now(): number {
    return this.#options.clock.monotonic();
  }

  async #writeGrant(write: () => Promise<number>): Promise<void> {
    const sentAtMs = this.#now();
    const term = this.#term;
    const position = await this.#write(write);
    if (term !== this.#term) return;
    this.#pending = { position, sentAtMs };
    this.tick();
    this.#applyState();
  }

  async #write(write: () => Promise<number>): Promise<number> {
    this.#isWriting = true;
    try {
      return await write();
    } finally {
      this.#isWriting = false;
    }
  }

  #applyState(): void {
    const state = this.#state;
    if (!state) return;
    const { job } = this.#options;
    const record = Object.hasOwn(state.jobs, job) ? state.jobs[job] : undefined;
    if (this.#fence !== undefined && (record?.fence !== this.#fence || record.released)) {
      this.#lose();
    }
    if (this.#pending && state.position >= this.#pending.position) {
      this.#resolveGrant(this.#pending, record);
    }
  }

  #resolveGrant(grant: PendingGrant, record: LeaseRecord | undefined): void {
    this.#pending = undefined;
    const isGranted = record?.grantedBy === grant.position && !record.released;
    if (this.state === 'requested') {
      if (isGranted) this.#win(grant);
      else this.#lose();
      return;
    }
    if (!isGranted || this.#fence === undefined) return;
    this.#chart.send('RENEW');
    this.#endsAtMs = grant.sentAtMs + this.#options.durationMs;
    this.tick();
  }

  #win({ position, sentAtMs }: PendingGrant): void {
    this.#chart.send('WIN');
    this.#fence = position;
    this.#endsAtMs = sentAtMs + this.#options.durationMs;
    this.#settleUntilMs = this.#now() + this.#options.settleMs;
    this.tick();
  }

  #lose(): void {
    this.#chart.send('LOSE');
    this.#clear();
  }

  #clear(): void {
    this.#term += 1;
    this.#fence = undefined;
    this.#pending = undefined;
  }
}
