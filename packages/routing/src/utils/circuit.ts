import type { CircuitState } from '../types/circuit-state.ts';
import type { OutlierOptions } from '../types/outlier-options.ts';
import type { RequestOutcome } from '../types/request-outcome.ts';
import { MovingAverage } from './moving-average.ts';

const DEFAULT_MAX_CONSECUTIVE_FAILURES = 5;
const DEFAULT_MAX_FAILURE_RATE = 0.5;
const DEFAULT_MAX_SLOWNESS = 3;
const DEFAULT_MIN_REQUESTS = 10;
const DEFAULT_BASE_ASIDE_MS = 5000;
const DEFAULT_MAX_ASIDE_MS = 300_000;
const DEFAULT_TRIAL_PERIOD_MS = 500;
const DEFAULT_TRIALS = 3;
const GAIN = 0.1;
/** Time in use after which earlier times aside no longer count, as a multiple of the last one. */
const FORGIVE_FACTOR = 10;

/** Circuit breaker of one runner: set aside on failures or slowness, let back in by trials. */
export class Circuit {
  readonly #options: OutlierOptions;
  #state: CircuitState = 'closed';
  #failureRate = new MovingAverage(0, GAIN);
  #latencyMs = new MovingAverage(0, GAIN);
  #consecutiveFailures = 0;
  #timesAside = 0;
  #asideUntil = 0;
  #closedAt = 0;
  #nextTrialAt = 0;
  #trialsPassed = 0;

  constructor(options: OutlierOptions = {}) {
    this.#options = options;
  }

  /** State at `now`. */
  state(now: number): CircuitState {
    if (this.#state === 'open' && now >= this.#asideUntil) this.#state = 'half-open';
    return this.#state;
  }

  /** Mean latency in milliseconds; `undefined` before enough requests were seen. */
  get latencyMs(): number | undefined {
    const enough = this.#latencyMs.samples >= this.#minRequests;
    return enough ? this.#latencyMs.value : undefined;
  }

  /** End of the time aside (monotonic). */
  get asideUntil(): number {
    return this.#asideUntil;
  }

  /** True when a request may be sent at `now`. */
  allows(now: number): boolean {
    const state = this.state(now);
    if (state === 'half-open') return now >= this.#nextTrialAt;
    return state === 'closed';
  }

  /** Notes that a request was sent, which uses up a trial while the runner is let back in. */
  sent(now: number): void {
    if (this.state(now) !== 'half-open') return;
    this.#nextTrialAt = now + (this.#options.trialPeriodMs ?? DEFAULT_TRIAL_PERIOD_MS);
  }

  /** Takes in an outcome; returns true when the runner should be set aside. */
  record(outcome: RequestOutcome, peerLatencyMs: number | undefined, now: number): boolean {
    const state = this.state(now);
    if (state === 'open') return false;
    this.#learn(outcome);
    if (state === 'half-open') return this.#recordTrial(outcome, peerLatencyMs, now);
    return this.#isFailing() || this.#isSlow(this.latencyMs, peerLatencyMs);
  }

  /** Sets the runner aside, for twice as long as the last time. */
  open(now: number): void {
    const { baseAsideMs = DEFAULT_BASE_ASIDE_MS, maxAsideMs = DEFAULT_MAX_ASIDE_MS } =
      this.#options;
    const lastMs = this.#asideMs(baseAsideMs, maxAsideMs);
    const isForgiven = this.#state === 'closed' && now - this.#closedAt > lastMs * FORGIVE_FACTOR;
    this.#timesAside = isForgiven ? 1 : this.#timesAside + 1;
    this.#state = 'open';
    this.#asideUntil = now + this.#asideMs(baseAsideMs, maxAsideMs);
    this.#trialsPassed = 0;
    this.#forget();
  }

  #asideMs(baseMs: number, maxMs: number): number {
    return Math.min(maxMs, baseMs * 2 ** Math.max(0, this.#timesAside - 1));
  }

  get #minRequests(): number {
    return this.#options.minRequests ?? DEFAULT_MIN_REQUESTS;
  }

  #learn({ ok, latencyMs }: RequestOutcome): void {
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
    this.#forget();
    return false;
  }

  #isFailing(): boolean {
    const {
      maxConsecutiveFailures = DEFAULT_MAX_CONSECUTIVE_FAILURES,
      maxFailureRate = DEFAULT_MAX_FAILURE_RATE,
    } = this.#options;
    if (this.#consecutiveFailures >= maxConsecutiveFailures) return true;
    const isJudged = this.#failureRate.samples >= this.#minRequests;
    return isJudged && this.#failureRate.value > maxFailureRate;
  }

  #isSlow(latencyMs: number | undefined, peerLatencyMs: number | undefined): boolean {
    if (latencyMs === undefined || peerLatencyMs === undefined) return false;
    return latencyMs > peerLatencyMs * (this.#options.maxSlowness ?? DEFAULT_MAX_SLOWNESS);
  }

  #forget(): void {
    this.#consecutiveFailures = 0;
    this.#failureRate = new MovingAverage(0, GAIN);
    this.#latencyMs = new MovingAverage(0, GAIN);
  }
}
