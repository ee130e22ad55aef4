import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';

const QUANTILES: readonly number[] = [50, 95, 99];
const HIGHEST_MS = 60_000;
const PERCENT = 100;
/** Maximum length of the metrics text; excess lines are cut off. */
const MAX_TEXT_BYTES = 64 * 1024;

function labelText(labels: Readonly<Record<string, string>>): string {
  const parts = Object.entries(labels).map(([name, value]) => `${name}=${JSON.stringify(value)}`);
  return parts.length === 0 ? '' : `{${parts.join(',')}}`;
}

/** Labeled counters, and latency histograms by team and route, rendered as text. */
export class GatewayMetrics {
  readonly #counters = new Map<string, number>();
  readonly #latencies = new Map<string, Histogram>();

  /** Adds to a counter. */
  count(name: string, labels: Readonly<Record<string, string>> = {}, by = 1): void {
    const key = `ragwortrudder_${name}${labelText(labels)}`;
    this.#counters.set(key, (this.#counters.get(key) ?? 0) + by);
  }

  /** Records the time to the response, or to the first event of a stream, in milliseconds. */
  recordLatency(team: string, route: string, ms: number): void {
    const key = `team=${JSON.stringify(team)},route=${JSON.stringify(route)}`;
    let histogram = this.#latencies.get(key);
    if (!histogram) {
      histogram = build({
        bitBucketSize: 32,
        autoResize: false,
        highestTrackableValue: HIGHEST_MS,
        numberOfSignificantValueDigits: 2,
      });
      this.#latencies.set(key, histogram);
    }
    histogram.recordValue(Math.min(HIGHEST_MS, Math.max(1, Math.round(ms))));
  }

  /** All metrics in the Prometheus text format. */
  text(): string {
    const lines: string[] = [];
    for (const [key, value] of this.#counters) lines.push(`${key} ${value}`);
    for (const [key, histogram] of this.#latencies) {
      for (const percent of QUANTILES) {
        const value = histogram.getValueAtPercentile(percent);
        lines.push(`ragwortrudder_latency_ms{${key},quantile="${percent / PERCENT}"} ${value}`);
      }
      lines.push(`ragwortrudder_latency_ms_count{${key}} ${histogram.totalCount}`);
    }
    const text = `${lines.join('\n')}\n`;
    return text.length <= MAX_TEXT_BYTES
      ? text
      : text.slice(0, text.lastIndexOf('\n', MAX_TEXT_BYTES) + 1);
  }
}
