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
const GAIN = 0.1;
const STEP_GAIN = 0.02;
const MS_PER_S = 1000;
/** Fewer computed tokens say nothing about the prefill rate. */
const MIN_RATE_TOKENS = 64;

interface Flight {
  readonly sentAt: number;
  readonly knownTokens: number;
  readonly startedAt?: number;
  readonly prefillTokens: number;
}

const NO_WORK: InFlightWork = { requests: 0, prefillTokens: 0 };

/** Follows one runner: its reports, this node's requests on it, and the speeds learned from them. */
export class RunnerTracker {
  readonly identity: RunnerIdentity;
  /** What is believed to be in the runner's prefix cache. */
  readonly cache: CacheIndex;
  readonly #flights = new Map<string, Flight>();
  readonly #prefillRate: MovingAverage;
  readonly #decodeStepMs: MovingAverage;
  readonly #serviceTimeMs: MovingAverage;
  readonly #networkMs: MovingAverage;
  #state: RunnerState = 'starting';
  #load: LoadReport | undefined;
  #loadAt = -Infinity;

  constructor(identity: RunnerIdentity, options: TrackerOptions = {}) {
    this.identity = identity;
    this.cache = new CacheIndex(options.cache);
    this.#prefillRate = new MovingAverage(options.prefillRate ?? DEFAULT_PREFILL_RATE, GAIN);
    this.#decodeStepMs = new MovingAverage(
      options.decodeStepMs ?? DEFAULT_DECODE_STEP_MS,
      STEP_GAIN,
    );
    this.#serviceTimeMs = new MovingAverage(options.serviceTimeMs ?? DEFAULT_SERVICE_TIME_MS, GAIN);
    this.#networkMs = new MovingAverage(options.networkMs ?? DEFAULT_NETWORK_MS, GAIN);
  }

  /** Changes the runner's state; a runner that is gone or leaving does not become ready again. */
  setState(state: RunnerState): void {
    const isFinal = this.#state === 'gone' || (this.#state === 'leaving' && state !== 'gone');
    if (!isFinal) this.#state = state;
  }

  /** Takes in a load report that shows the runner as it was at `measuredAt` (monotonic). */
  reported(load: LoadReport, measuredAt: number): void {
    if (measuredAt < this.#loadAt) return;
    this.#load = load;
    this.#loadAt = measuredAt;
    if (load.leaving) this.setState('leaving');
  }

  /** Takes in a measured round trip. */
  roundTrip(ms: number): void {
    this.#networkMs.add(ms);
  }

  /** Notes that a request was sent. */
  sent(request: SentRequest, now: number): void {
    const knownTokens = this.cache.knownTokens(request.blocks);
    const cachedTokens = this.cache.cachedTokens(request.blocks);
    const prefillTokens = Math.max(0, request.promptTokens - cachedTokens);
    this.#flights.set(request.id, { sentAt: now, knownTokens, prefillTokens });
    this.cache.remember(request.blocks, now);
  }

  /** Notes the engine's start event. */
  started(id: string, cachedTokens: number, computedTokens: number, now: number): void {
    const flight = this.#flights.get(id);
    if (!flight) return;
    this.cache.confirm(flight.knownTokens, cachedTokens);
    this.#flights.set(id, { ...flight, startedAt: now, prefillTokens: computedTokens });
  }

  /** Notes the first token, which ends the computation of the prompt. */
  firstToken(id: string, now: number): void {
    const flight = this.#flights.get(id);
    if (!flight) return;
    const elapsedMs = now - (flight.startedAt ?? now);
    if (elapsedMs > 0 && flight.prefillTokens >= MIN_RATE_TOKENS) {
      this.#prefillRate.add((flight.prefillTokens * MS_PER_S) / elapsedMs);
    }
    this.#flights.set(id, { ...flight, prefillTokens: 0 });
  }

  /** Takes in the time between two tokens of a stream. */
  tokenGap(ms: number): void {
    this.#decodeStepMs.add(ms);
  }

  /** Notes the end of a request. Failures teach no service time: a fast failure is not speed. */
  ended(id: string, ok: boolean, now: number): void {
    const flight = this.#flights.get(id);
    if (!flight) return;
    if (ok) this.#serviceTimeMs.add(now - flight.sentAt);
    this.#flights.delete(id);
  }

  /** Requests of this node in flight on the runner. */
  get requests(): readonly string[] {
    return [...this.#flights.keys()];
  }

  /** Returns what a routing decision may know, at `now`. */
  view(now: number, setAside = false): RunnerView {
    const { id, endpoint, failureDomain, service, version, kind } = this.identity;
    const load = this.#load;
    return {
      id,
      endpoint,
      failureDomain,
      service,
      version,
      kind,
      state: this.#state,
      load,
      loadAgeMs: now - this.#loadAt,
      unreported: this.#workSince(this.#loadAt),
      inFlight: this.#workSince(-Infinity),
      prefillRate: this.#prefillRateNow(),
      decodeStepMs: load?.stepMs ?? this.#decodeStepMs.value,
      serviceTimeMs: this.#serviceTimeMs.value,
      networkMs: this.#networkMs.value,
      leaving: this.#state === 'leaving',
      setAside,
    };
  }

  /** This node's work in flight that was sent after `time`. */
  #workSince(time: number): InFlightWork {
    if (this.#flights.size === 0) return NO_WORK;
    let requests = 0;
    let prefillTokens = 0;
    for (const flight of this.#flights.values()) {
      if (flight.sentAt <= time) continue;
      requests += 1;
      prefillTokens += flight.prefillTokens;
    }
    return { requests, prefillTokens };
  }

  #prefillRateNow(): number {
    if (this.#prefillRate.samples > 0) return this.#prefillRate.value;
    const reported = this.#load?.prefillRate ?? 0;
    return reported > 0 ? reported : this.#prefillRate.value;
  }
}
