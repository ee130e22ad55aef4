import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import { injectable } from 'inversify';
import { Counter, Gauge, Registry, collectDefaultMetrics } from 'prom-client';
import type { Stage } from '../../types/stage.ts';

const MICROSECONDS_PER_MS = 1000;
const MAX_MICROSECONDS = 3_600_000_000;
const QUANTILES: readonly number[] = [50, 90, 95, 99];
const PREFIX = 'ragwortrudder_';

interface Series {
  readonly stage: Stage;
  readonly tenant: string;
  readonly class: string;
  readonly histogram: Histogram;
}

type Labels = Readonly<Record<string, string>>;

/**
 * Prometheus metrics: counters, gauges, and histograms of request durations for each tenant and
 * class.
 */
@injectable()
export class Metrics {
  readonly #registry = new Registry();
  readonly #counters = new Map<string, Counter>();
  readonly #series = new Map<string, Series>();

  constructor() {
    collectDefaultMetrics({ register: this.#registry, prefix: PREFIX });
    this.#registerDurations();
  }

  /** Adds `amount` to the counter `name`. All calls for one name must use the same label names. */
  count(name: string, labels: Labels = {}, amount = 1): void {
    this.#counter(name, Object.keys(labels)).inc(labels, amount);
  }

  /** Registers the gauge `name`, whose value `read` returns at each scrape. */
  gauge(name: string, help: string, read: () => number): void {
    new Gauge({
      name: PREFIX + name,
      help,
      registers: [this.#registry],
      collect() {
        this.set(read());
      },
    });
  }

  /** Records a duration in milliseconds. */
  observe(
    stage: Stage,
    subject: { readonly tenant: string; readonly class: string },
    ms: number,
  ): void {
    const value = Math.min(MAX_MICROSECONDS, Math.max(1, Math.round(ms * MICROSECONDS_PER_MS)));
    this.#seriesOf(stage, subject).histogram.recordValue(value);
  }

  /** Percentile of the recorded durations in milliseconds; undefined when none were recorded. */
  percentile(
    stage: Stage,
    subject: { readonly tenant: string; readonly class: string },
    percentile: number,
  ): number | undefined {
    const series = this.#series.get(seriesKey(stage, subject));
    return series && series.histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
  }

  /** Sum of the counter `name` over all labels. */
  async total(name: string): Promise<number> {
    const values = await this.#counters.get(name)?.get();
    return values?.values.reduce((sum, item) => sum + item.value, 0) ?? 0;
  }

  /** Values of the counter `name`, summed by the value of `label`. */
  async totalsByLabel(name: string, label: string): Promise<Readonly<Record<string, number>>> {
    const values = (await this.#counters.get(name)?.get())?.values ?? [];
    const sums: Record<string, number> = {};
    for (const item of values) {
      const key = String(item.labels[label]);
      sums[key] = (sums[key] ?? 0) + item.value;
    }
    return sums;
  }

  /** All metrics in the Prometheus text format. */
  async text(): Promise<string> {
    return this.#registry.metrics();
  }

  #counter(name: string, labelNames: readonly string[]): Counter {
    const existing = this.#counters.get(name);
    if (existing) return existing;
    const counter = new Counter({
      name: `${PREFIX}${name}_total`,
      help: `Count of ${name.replaceAll('_', ' ')}.`,
      labelNames: [...labelNames],
      registers: [this.#registry],
    });
    this.#counters.set(name, counter);
    return counter;
  }

  #seriesOf(stage: Stage, subject: { readonly tenant: string; readonly class: string }): Series {
    const name = seriesKey(stage, subject);
    const existing = this.#series.get(name);
    if (existing) return existing;
    const histogram = build({
      highestTrackableValue: MAX_MICROSECONDS,
      numberOfSignificantValueDigits: 2,
    });
    const series = { stage, tenant: subject.tenant, class: subject.class, histogram };
    this.#series.set(name, series);
    return series;
  }

  #registerDurations(): void {
    const all = this.#series;
    new Gauge({
      name: `${PREFIX}time_ms`,
      help: 'Quantiles of request times in milliseconds, by stage, tenant and class.',
      labelNames: ['stage', 'tenant', 'class', 'quantile'],
      registers: [this.#registry],
      collect() {
        for (const { histogram, stage, tenant, class: className } of all.values()) {
          for (const quantile of QUANTILES) {
            this.set(
              { stage, tenant, class: className, quantile: String(quantile / 100) },
              histogram.getValueAtPercentile(quantile) / MICROSECONDS_PER_MS,
            );
          }
        }
      },
    });
    new Gauge({
      name: `${PREFIX}time_count`,
      help: 'Recorded request times, by stage, tenant and class.',
      labelNames: ['stage', 'tenant', 'class'],
      registers: [this.#registry],
      collect() {
        for (const { histogram, stage, tenant, class: className } of all.values()) {
          this.set({ stage, tenant, class: className }, histogram.totalCount);
        }
      },
    });
  }
}

function seriesKey(
  stage: Stage,
  subject: { readonly tenant: string; readonly class: string },
): string {
  return `${stage}/${subject.tenant}/${subject.class}`;
}
