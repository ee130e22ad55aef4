import { Chart, lease } from '@ragwortrudder/charts';
import type { LeaseHolderOptions } from '../types/lease-holder-options.ts';
import type { LeaseRecord } from '../types/lease-record.ts';
import type { LeaseState } from '../types/lease-state.ts';

const DEFAULT_DURATION_MS = 10_000;
const DEFAULT_MARGIN_MS = 2_000;
const DEFAULT_RENEW_BEFORE_MS = 4_000;
const DEFAULT_SETTLE_MS = 3_000;

/** An entry that asks for a lease until a duration after the time at which it was written. */
interface Grant {
  readonly position: number;
  /** Monotonic time before the entry was sent, in milliseconds. */
  readonly sentAtMs: number;
}

/**
 * One node's hold on one job. The holder measures its lease on its own monotonic clock from before
 * it sent the entry that the log then granted, and stops a margin before the end.
 */
export class LeaseHolder {
  readonly #options: Required<LeaseHolderOptions>;
  readonly #chart = new Chart(lease);
  #state: LeaseState | undefined;
  #pending: Grant | undefined;
  #fence: number | undefined;
  #endsAtMs = 0;
  #settleUntilMs = 0;
  #isWriting = false;
  /** Changes with every request and every end, so that a late reply has no effect. */
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

  /** Name of the state in the chart `lease`. */
  get state(): string {
    return this.#chart.state;
  }

  /** Fencing number of the lease that is held, to be sent with each order. */
  get fence(): number | undefined {
    return this.#fence;
  }

  /**
   * Monotonic time in milliseconds before which no order goes to an engine that ignores fencing
   * numbers: until then an order of the previous holder may still arrive.
   */
  get settleUntil(): number {
    return this.#settleUntilMs;
  }

  /** True when it is time to call {@link renew}. */
  get isRenewalDue(): boolean {
    const renewAtMs = this.#stopsAtMs - this.#options.renewBeforeMs;
    return this.isHeld && !this.#isWriting && !this.#pending && this.#now() >= renewAtMs;
  }

  /** True from winning the lease until its end by the own clock, also while stopping. */
  get isHeld(): boolean {
    this.tick();
    return this.#fence !== undefined;
  }

  /** Checked right before each order: true while the lease surely has not ended. */
  mayAct(): boolean {
    this.tick();
    return this.state === 'held';
  }

  /** Like {@link mayAct}, for engines that ignore fencing numbers. */
  mayActUnfenced(): boolean {
    return this.mayAct() && this.#now() >= this.#settleUntilMs;
  }

  /** Asks for the lease; {@link observe} tells the result. */
  async request(): Promise<void> {
    this.tick();
    this.#chart.send('REQUEST');
    this.#term += 1;
    const term = this.#term;
    const { job, holder, durationMs } = this.#options;
    try {
      await this.#grant(() => this.#options.write({ type: 'acquire', job, holder, durationMs }));
    } catch (error) {
      if (term === this.#term) this.#lose();
      throw error;
    }
  }

  /** Asks for a later end; without effect when the lease is not held. */
  async renew(): Promise<void> {
    const fence = this.#fence;
    if (!this.isHeld || fence === undefined) return;
    const { job, holder, durationMs } = this.#options;
    await this.#grant(() => this.#options.write({ type: 'renew', job, holder, fence, durationMs }));
  }

  /** Stops acting at once and then frees the job for others. */
  async release(): Promise<void> {
    const fence = this.#fence;
    if (!this.isHeld || fence === undefined) return;
    this.#chart.send('RELEASE');
    this.#clear();
    const { job, holder } = this.#options;
    await this.#options.write({ type: 'release', job, holder, fence });
  }

  /** Takes note of the state of the log. */
  observe(state: LeaseState): void {
    this.#state = state;
    this.tick();
    this.#evaluate();
  }

  /** Follows the own clock: stops acting before the end and gives the lease up at the end. */
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

  async #grant(write: () => Promise<number>): Promise<void> {
    const sentAtMs = this.#now();
    const term = this.#term;
    const position = await this.#write(write);
    if (term !== this.#term) return;
    this.#pending = { position, sentAtMs };
    this.tick();
    this.#evaluate();
  }

  async #write(write: () => Promise<number>): Promise<number> {
    this.#isWriting = true;
    try {
      return await write();
    } finally {
      this.#isWriting = false;
    }
  }

  #evaluate(): void {
    const state = this.#state;
    if (!state) return;
    const { job } = this.#options;
    const record = Object.hasOwn(state.jobs, job) ? state.jobs[job] : undefined;
    if (this.#fence !== undefined && (record?.fence !== this.#fence || record.released)) {
      this.#lose();
    }
    if (this.#pending && state.position >= this.#pending.position) {
      this.#judge(this.#pending, record);
    }
  }

  #judge(grant: Grant, record: LeaseRecord | undefined): void {
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

  #win({ position, sentAtMs }: Grant): void {
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
