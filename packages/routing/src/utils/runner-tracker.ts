import type { InFlightWork } from '../types/in-flight-work.ts';
import type { LoadReport } from '../types/load-report.ts';
import type { RunnerIdentity } from '../types/runner-identity.ts';
import type { RunnerState } from '../types/runner-state.ts';
import type { RunnerView } from '../types/runner-view.ts';
import type { SentRequest } from '../types/sent-request.ts';
import type { TrackerOptions } from '../types/tracker-options.ts';
import { CacheIndex } from './cache-index.ts';
import { MovingAverage } from './moving-average.ts';

const DEFAULT_PREFILL_RATE = 8000;
const DEFAULT_DECODE_STEP_MS = 25;
const DEFAULT_SERVICE_TIME_MS = 20;
const DEFAULT_NETWORK_MS = 1;
const AVERAGE_GAIN = 0.1;
const DECODE_STEP_GAIN = 0.02;
const MS_PER_S = 1000;
/** Minimum number of computed tokens for a sample of the prefill rate. */
const MIN_RATE_TOKENS = 64;

interface InFlightRequest {
  readonly sentAt: number;
  readonly knownTokens: number;
  readonly startedAt?: number;
  readonly prefillTokens: number;
}

const NO_WORK: InFlightWork = { requests: 0, prefillTokens: 0 };

/**
 * Tracks one runner: its load reports, this node's requests in flight on it, and the rates and
 * times estimated from them.
 */
export class RunnerTracker {
  readonly identity: RunnerIdentity;
  /** Index of the prefixes expected in the runner's prefix cache. */
  readonly cache: CacheIndex;
  readonly #inFlight = new Map<string, InFlightRequest>();
  readonly #prefillRate: MovingAverage;
  readonly #decodeStepMs: MovingAverage;
  readonly #serviceTimeMs: MovingAverage;
  readonly #networkMs: MovingAverage;
  #state: RunnerState = 'starting';
  #lastReport: LoadReport | undefined;
  #reportMeasuredAt = -Infinity;

  constructor(identity: RunnerIdentity, options: TrackerOptions = {}) {
    this.identity = identity;
    this.cache = new CacheIndex(options.cache);
    this.#prefillRate = new MovingAverage(
      options.prefillRate ?? DEFAULT_PREFILL_RATE,
      AVERAGE_GAIN,
    );
    this.#decodeStepMs = new MovingAverage(
      options.decodeStepMs ?? DEFAULT_DECODE_STEP_MS,
      DECODE_STEP_GAIN,
    );
    this.#serviceTimeMs = new MovingAverage(
      options.serviceTimeMs ?? DEFAULT_SERVICE_TIME_MS,
      AVERAGE_GAIN,
    );
    this.#networkMs = new MovingAverage(options.networkMs ?? DEFAULT_NETWORK_MS, AVERAGE_GAIN);
  }

  /** Sets the runner's state; a runner that is gone or leaving does not become ready again. */
  setState(state: RunnerState): void {
    const isFinal = this.#state === 'gone' || (this.#state === 'leaving' && state !== 'gone');
    if (!isFinal) this.#state = state;
  }

  /** Applies a load report measured at `measuredAt` (monotonic), unless a newer one was applied. */
  applyReport(load: LoadReport, measuredAt: number): void {
    if (measuredAt < this.#reportMeasuredAt) return;
    this.#lastReport = load;
    this.#reportMeasuredAt = measuredAt;
    if (load.leaving) this.setState('leaving');
  }

  /** Records a measured network round-trip time. */
  recordRoundTrip(ms: number): void {
    this.#networkMs.add(ms);
  }

  /** Records that a request was sent. */
  recordSent(request: SentRequest, now: number): void {
    const knownTokens = this.cache.knownTokens(request.blocks);
    const cachedTokens = this.cache.cachedTokens(request.blocks);
    const prefillTokens = Math.max(0, request.promptTokens - cachedTokens);
    this.#inFlight.set(request.id, { sentAt: now, knownTokens, prefillTokens });
    this.cache.recordSent(request.blocks, now);
  }

  /** Records the engine's start event and updates the confidence in the cache index. */
  recordStart(id: string, cachedTokens: number, computedTokens: number, now: number): void {
    const entry = this.#inFlight.get(id);
    if (!entry) return;
    this.cache.recordReuse(entry.knownTokens, cachedTokens);
    this.#inFlight.set(id, { ...entry, startedAt: now, prefillTokens: computedTokens });
  }

  /** Records the first token, which ends the prefill of the request. */
  recordFirstToken(id: string, now: number): void {
    const entry = this.#inFlight.get(id);
    if (!entry) return;
    const elapsedMs = now - (entry.startedAt ?? now);
    if (elapsedMs > 0 && entry.prefillTokens >= MIN_RATE_TOKENS) {
      this.#prefillRate.add((entry.prefillTokens * MS_PER_S) / elapsedMs);
    }
    this.#inFlight.set(id, { ...entry, prefillTokens: 0 });
  }

  /** Records the time between two tokens of a stream. */
  recordTokenGap(ms: number): void {
    this.#decodeStepMs.add(ms);
  }

  /** Records the end of a request. Failures do not count as service times: many fail fast. */
  recordEnd(id: string, succeeded: boolean, now: number): void {
    const entry = this.#inFlight.get(id);
    if (!entry) return;
    if (succeeded) this.#serviceTimeMs.add(now - entry.sentAt);
    this.#inFlight.delete(id);
  }

  /** Ids of this node's requests in flight on the runner. */
  get requests(): readonly string[] {
    return [...this.#inFlight.keys()];
  }

  /** Returns a snapshot at `now` for a routing decision. */
  view(now: number, setAside = false): RunnerView {
    const { id, endpoint, failureDomain, service, version, kind } = this.identity;
    const load = this.#lastReport;
    return {
      id,
      endpoint,
      failureDomain,
      service,
      version,
      kind,
      state: this.#state,
      load,
      loadAgeMs: now - this.#reportMeasuredAt,
      unreported: this.#workSince(this.#reportMeasuredAt),
      inFlight: this.#workSince(-Infinity),
      prefillRate: this.#currentPrefillRate(),
      decodeStepMs: load?.stepMs ?? this.#decodeStepMs.value,
      serviceTimeMs: this.#serviceTimeMs.value,
      networkMs: this.#networkMs.value,
      leaving: this.#state === 'leaving',
      setAside,
    };
  }

  /** This node's work in flight that was sent after `time`. */
  #workSince(time: number): InFlightWork {
    if (this.#inFlight.size === 0) return NO_WORK;
    let requests = 0;
    let prefillTokens = 0;
    for (const entry of this.#inFlight.values()) {
      if (entry.sentAt <= time) continue;
      requests += 1;
      prefillTokens += entry.prefillTokens;
    }
    return { requests, prefillTokens };
  }

  #currentPrefillRate(): number {
    if (this.#prefillRate.samples > 0) return this.#prefillRate.value;
    const applyReport = this.#lastReport?.prefillRate ?? 0;
    return applyReport > 0 ? applyReport : this.#prefillRate.value;
  }
}
