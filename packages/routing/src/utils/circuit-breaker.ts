import type { CircuitState } from '../types/circuit-state.ts';
import type { OutlierOptions } from '../types/outlier-options.ts';
import type { RequestOutcome } from '../types/request-outcome.ts';
import { MovingAverage } from './moving-average.ts';

const DEFAULT_MAX_CONSECUTIVE_FAILURES = 5;
const DEFAULT_MAX_FAILURE_RATE = 0.5;
const DEFAULT_MAX_SLOWNESS = 3;
const DEFAULT_MIN_REQUESTS = 10;
const DEFAULT_BASE_EJECTION_MS = 5000;
const DEFAULT_MAX_EJECTION_MS = 300_000;
const DEFAULT_TRIAL_PERIOD_MS = 500;
const DEFAULT_TRIALS = 3;
const GAIN = 0.1;
/**
 * Closed time after which earlier ejections no longer count, as a multiple of the last ejection.
 */
const BACKOFF_RESET_FACTOR = 10;

/**
 * Circuit breaker of one runner: opens on failures or high latency, closes after successful trials.
 */
export class CircuitBreaker {
  readonly #options: OutlierOptions;
  #state: CircuitState = 'closed';
  #failureRate = new MovingAverage(0, GAIN);
  #latencyMs = new MovingAverage(0, GAIN);
  #consecutiveFailures = 0;
  #ejections = 0;
  #ejectedUntil = 0;
  #closedAt = 0;
  #nextTrialAt = 0;
  #trialsPassed = 0;

  constructor(options: OutlierOptions = {}) {
    this.#options = options;
  }

  /** Returns the state at `now`; an open circuit becomes half-open when its ejection ends. */
  state(now: number): CircuitState {
    if (this.#state === 'open' && now >= this.#ejectedUntil) this.#state = 'half-open';
    return this.#state;
  }

  /** Mean latency in milliseconds; `undefined` until enough requests have been recorded. */
  get latencyMs(): number | undefined {
    const hasEnoughSamples = this.#latencyMs.samples >= this.#minRequests;
    return hasEnoughSamples ? this.#latencyMs.value : undefined;
  }

  /** Monotonic time at which the ejection ends. */
  get ejectedUntil(): number {
    return this.#ejectedUntil;
  }

  /** True when a request may be sent at `now`. */
  allows(now: number): boolean {
    const state = this.state(now);
    if (state === 'half-open') return now >= this.#nextTrialAt;
    return state === 'closed';
  }

  /** Records that a request was sent; while the circuit is half-open it delays the next trial. */
  recordSent(now: number): void {
    if (this.state(now) !== 'half-open') return;
    this.#nextTrialAt = now + (this.#options.trialPeriodMs ?? DEFAULT_TRIAL_PERIOD_MS);
  }

  /** Records an outcome; returns true when the runner should be ejected. */
  record(outcome: RequestOutcome, peerLatencyMs: number | undefined, now: number): boolean {
    const state = this.state(now);
    if (state === 'open') return false;
    this.#updateStatistics(outcome);
    if (state === 'half-open') return this.#recordTrial(outcome, peerLatencyMs, now);
    return this.#isFailing() || this.#isSlow(this.latencyMs, peerLatencyMs);
  }

  /** Ejects the runner, for twice as long as the last time up to the maximum. */
  open(now: number): void {
    const { baseEjectionMs = DEFAULT_BASE_EJECTION_MS, maxEjectionMs = DEFAULT_MAX_EJECTION_MS } =
      this.#options;
    const lastEjectionMs = this.#ejectionMs(baseEjectionMs, maxEjectionMs);
    const isBackoffReset =
      this.#state === 'closed' && now - this.#closedAt > lastEjectionMs * BACKOFF_RESET_FACTOR;
    this.#ejections = isBackoffReset ? 1 : this.#ejections + 1;
    this.#state = 'open';
    this.#ejectedUntil = now + this.#ejectionMs(baseEjectionMs, maxEjectionMs);
    this.#trialsPassed = 0;
    this.#resetStatistics();
  }

  #ejectionMs(baseMs: number, maxMs: number): number {
    return Math.min(maxMs, baseMs * 2 ** Math.max(0, this.#ejections - 1));
  }

  get #minRequests(): number {
    return this.#options.minRequests ?? DEFAULT_MIN_REQUESTS;
  }

  #updateStatistics({ ok, latencyMs }: RequestOutcome): void {
    this.#consecutiveFailures = ok ? 0 : this.#consecutiveFailures + 1;
    this.#failureRate.add(ok ? 0 : 1);
    if (ok && latencyMs !== undefined) this.#latencyMs.add(latencyMs);
  }

  #recordTrial(outcome: RequestOutcome, peerLatencyMs: number | undefined, now: number): boolean {
    if (!outcome.ok || this.#isSlow(outcome.latencyMs, peerLatencyMs)) return true;
    this.#trialsPassed += 1;
    if (this.#trialsPassed < (this.#options.trials ?? DEFAULT_TRIALS)) return false;
    this.#state = 'closed';
    this.#closedAt = now;
    this.#resetStatistics();
    return false;
  }

  #isFailing(): boolean {
    const {
      maxConsecutiveFailures = DEFAULT_MAX_CONSECUTIVE_FAILURES,
      maxFailureRate = DEFAULT_MAX_FAILURE_RATE,
    } = this.#options;
    if (this.#consecutiveFailures >= maxConsecutiveFailures) return true;
    const hasEnoughSamples = this.#failureRate.samples >= this.#minRequests;
    return hasEnoughSamples && this.#failureRate.value > maxFailureRate;
  }

  #isSlow(latencyMs: number | undefined, peerLatencyMs: number | undefined): boolean {
    if (latencyMs === undefined || peerLatencyMs === undefined) return false;
    return latencyMs > peerLatencyMs * (this.#options.maxSlowness ?? DEFAULT_MAX_SLOWNESS);
  }

  #resetStatistics(): void {
    this.#consecutiveFailures = 0;
    this.#failureRate = new MovingAverage(0, GAIN);
    this.#latencyMs = new MovingAverage(0, GAIN);
  }
}
