import type { ProbeResult } from '../types/probe-result.ts';
import type { ProbeSignal } from '../types/probe-signal.ts';
import type { StreamContext } from '../types/stream-context.ts';
import type { StreamVerdict } from '../types/stream-verdict.ts';
import type { StreamWatchOptions } from '../types/stream-watch-options.ts';
import { DecayingQuantile } from './decaying-quantile.ts';

const DEFAULT_MIN_SILENCE_MS = 500;
const DEFAULT_FACTOR = 8;
const DEFAULT_INITIAL_GAP_MS = 100;
const GAP_QUANTILE = 0.99;
/** A stream that waits for its first token may take this multiple of the estimate. */
const FIRST_TOKEN_FACTOR = 4;
/** Gaps needed before the learned quantile replaces the initial gap. */
const MIN_GAPS = 50;

interface Stream {
  readonly lastAt: number;
  readonly hasToken: boolean;
  /** Factor by which a false alarm widened this stream's bound. */
  readonly widening: number;
}

/**
 * Watches the progress of the streams of one runner against the expected gap between tokens.
 * Silence beyond the bound asks for a probe on a fresh connection; the probe's result becomes an
 * event of the `connection` chart. A slow but live engine widens the bound by its step time.
 */
export class StreamWatch {
  readonly #options: StreamWatchOptions;
  readonly #gaps = new DecayingQuantile();
  readonly #streams = new Map<string, Stream>();

  constructor(options: StreamWatchOptions = {}) {
    this.#options = options;
  }

  /** Starts to watch a stream. */
  open(id: string, now: number): void {
    this.#streams.set(id, { lastAt: now, hasToken: false, widening: 1 });
  }

  /** Notes a token of a stream. */
  token(id: string, now: number): void {
    const stream = this.#streams.get(id);
    if (!stream) return;
    if (stream.hasToken) this.#gaps.add(now - stream.lastAt);
    this.#streams.set(id, { lastAt: now, hasToken: true, widening: 1 });
  }

  /** Notes a sign of life that is no token, for example the engine's start event. */
  alive(id: string, now: number): void {
    const stream = this.#streams.get(id);
    if (stream) this.#streams.set(id, { ...stream, lastAt: now });
  }

  /** Stops watching a stream. */
  closeStream(id: string): void {
    this.#streams.delete(id);
  }

  /** Longest unsuspicious silence of a stream in milliseconds. */
  boundMs(id: string, context: StreamContext = {}): number {
    const stream = this.#streams.get(id);
    if (!stream) return Infinity;
    const { minSilenceMs = DEFAULT_MIN_SILENCE_MS, factor = DEFAULT_FACTOR } = this.#options;
    const stepBoundMs = factor * Math.max(this.#gapMs(), context.stepMs ?? 0);
    const firstMs = stream.hasToken ? 0 : FIRST_TOKEN_FACTOR * (context.firstTokenMs ?? 0);
    const waitingMs = stream.hasToken ? 0 : (context.waiting ?? 0) * (context.stepMs ?? 0);
    return Math.max(minSilenceMs, stepBoundMs + firstMs + waitingMs) * stream.widening;
  }

  /** Judges the progress of a stream. */
  verdict(id: string, now: number, context: StreamContext = {}): StreamVerdict {
    const stream = this.#streams.get(id);
    if (!stream) return 'wait';
    return now - stream.lastAt > this.boundMs(id, context) ? 'probe' : 'wait';
  }

  /** Monotonic time at which the stream becomes suspicious unless it progresses. */
  nextWakeAt(id: string, context: StreamContext = {}): number {
    const stream = this.#streams.get(id);
    return stream ? stream.lastAt + this.boundMs(id, context) : Infinity;
  }

  /**
   * Turns the result of a probe into an event of the `connection` chart: `PROBE_FAIL` when the
   * endpoint did not answer, `PROGRESS` when its step time explains the silence (a false alarm,
   * after which the bound is doubled), `PROBE_OK` when the endpoint works and the connection
   * does not.
   */
  probed(id: string, result: ProbeResult, now: number, context: StreamContext = {}): ProbeSignal {
    if (!result.reachable) return 'PROBE_FAIL';
    const stream = this.#streams.get(id);
    if (!stream) return 'PROBE_OK';
    const stepMs = Math.max(result.stepMs ?? 0, context.stepMs ?? 0);
    const isExplained = now - stream.lastAt <= this.boundMs(id, { ...context, stepMs });
    if (!isExplained) return 'PROBE_OK';
    this.#streams.set(id, { ...stream, widening: stream.widening * 2 });
    return 'PROGRESS';
  }

  #gapMs(): number {
    const initial = this.#options.initialGapMs ?? DEFAULT_INITIAL_GAP_MS;
    if (this.#gaps.weight < MIN_GAPS) return initial;
    return this.#gaps.quantile(GAP_QUANTILE) ?? initial;
  }
}
