import type { ProbeResult } from '../types/probe-result.ts';
import type { ProbeSignal } from '../types/probe-signal.ts';
import type { StreamContext } from '../types/stream-context.ts';
import type { StreamVerdict } from '../types/stream-verdict.ts';
import type { StreamMonitorOptions } from '../types/stream-monitor-options.ts';
import { DecayingQuantile } from './decaying-quantile.ts';

const DEFAULT_MIN_SILENCE_MS = 500;
const DEFAULT_FACTOR = 8;
const DEFAULT_INITIAL_GAP_MS = 100;
const GAP_QUANTILE = 0.99;
/** Multiple of the estimated time to the first token that a stream may take to produce it. */
const FIRST_TOKEN_FACTOR = 4;
/** Gaps needed before the learned quantile replaces the initial gap. */
const MIN_GAPS = 50;

interface StreamProgress {
  readonly lastActivityAt: number;
  readonly hasToken: boolean;
  /** Multiplier of this stream's silence bound; doubles with each false alarm. */
  readonly boundFactor: number;
}

/**
 * Monitors the progress of the streams of one runner against the expected gap between tokens.
 * Silence beyond the bound requests a probe on a fresh connection; the probe's result becomes an
 * event of the `connection` state machine. The bound rises with the reported step time, so that a
 * slow but live engine is not suspected.
 */
export class StreamMonitor {
  readonly #options: StreamMonitorOptions;
  readonly #gaps = new DecayingQuantile();
  readonly #streams = new Map<string, StreamProgress>();

  constructor(options: StreamMonitorOptions = {}) {
    this.#options = options;
  }

  /** Starts monitoring a stream. */
  start(id: string, now: number): void {
    this.#streams.set(id, { lastActivityAt: now, hasToken: false, boundFactor: 1 });
  }

  /** Records a token of a stream. */
  recordToken(id: string, now: number): void {
    const stream = this.#streams.get(id);
    if (!stream) return;
    if (stream.hasToken) this.#gaps.add(now - stream.lastActivityAt);
    this.#streams.set(id, { lastActivityAt: now, hasToken: true, boundFactor: 1 });
  }

  /** Records activity other than a token, for example the engine's start event. */
  recordActivity(id: string, now: number): void {
    const stream = this.#streams.get(id);
    if (stream) this.#streams.set(id, { ...stream, lastActivityAt: now });
  }

  /** Stops monitoring a stream. */
  stop(id: string): void {
    this.#streams.delete(id);
  }

  /** Longest silence of a stream that does not trigger a probe, in milliseconds. */
  silenceBoundMs(id: string, context: StreamContext = {}): number {
    const stream = this.#streams.get(id);
    if (!stream) return Infinity;
    const { minSilenceMs = DEFAULT_MIN_SILENCE_MS, factor = DEFAULT_FACTOR } = this.#options;
    const gapBoundMs = factor * Math.max(this.#expectedGapMs(), context.stepMs ?? 0);
    const firstTokenBoundMs = stream.hasToken
      ? 0
      : FIRST_TOKEN_FACTOR * (context.firstTokenMs ?? 0);
    const queueBoundMs = stream.hasToken ? 0 : (context.waiting ?? 0) * (context.stepMs ?? 0);
    return (
      Math.max(minSilenceMs, gapBoundMs + firstTokenBoundMs + queueBoundMs) * stream.boundFactor
    );
  }

  /** Checks the progress of a stream. */
  verdict(id: string, now: number, context: StreamContext = {}): StreamVerdict {
    const stream = this.#streams.get(id);
    if (!stream) return 'wait';
    return now - stream.lastActivityAt > this.silenceBoundMs(id, context) ? 'probe' : 'wait';
  }

  /** Monotonic time at which the stream needs a probe unless it makes progress before. */
  nextCheckAt(id: string, context: StreamContext = {}): number {
    const stream = this.#streams.get(id);
    return stream ? stream.lastActivityAt + this.silenceBoundMs(id, context) : Infinity;
  }

  /**
   * Converts the result of a probe into an event of the `connection` state machine: `PROBE_FAIL`
   * when the endpoint did not answer, `PROGRESS` when its step time explains the silence (a false
   * alarm, which doubles the bound), `PROBE_OK` when the endpoint works but the connection does
   * not.
   */
  handleProbeResult(
    id: string,
    result: ProbeResult,
    now: number,
    context: StreamContext = {},
  ): ProbeSignal {
    if (!result.reachable) return 'PROBE_FAIL';
    const stream = this.#streams.get(id);
    if (!stream) return 'PROBE_OK';
    const stepMs = Math.max(result.stepMs ?? 0, context.stepMs ?? 0);
    const isWithinBound =
      now - stream.lastActivityAt <= this.silenceBoundMs(id, { ...context, stepMs });
    if (!isWithinBound) return 'PROBE_OK';
    this.#streams.set(id, { ...stream, boundFactor: stream.boundFactor * 2 });
    return 'PROGRESS';
  }

  #expectedGapMs(): number {
    const initialGapMs = this.#options.initialGapMs ?? DEFAULT_INITIAL_GAP_MS;
    if (this.#gaps.weight < MIN_GAPS) return initialGapMs;
    return this.#gaps.quantile(GAP_QUANTILE) ?? initialGapMs;
  }
}
