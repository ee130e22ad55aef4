import type { Clock } from '@ragwortrudder/core';
import type { SpeedEstimate } from '../types/speed-estimate.ts';
import type { SpeedSums } from '../types/speed-sums.ts';
import { MovingAverage } from './moving-average.ts';

interface RunnerSpeedsOptions {
  readonly clock: Clock;
}

interface Sums {
  readonly count: number;
  readonly logSum: number;
  /** Monotonic time to which both are discounted, in milliseconds. */
  readonly at: number;
}

interface Momentary {
  readonly slowness: number;
  /** Monotonic time, in milliseconds. */
  readonly at: number;
}

interface SpeedSample {
  readonly service: string;
  /** Boot of the runner. */
  readonly runner: string;
  /** Requests of one kind are expected to take the same time. */
  readonly kind: string;
  /** Ratio of measured to expected time. */
  readonly ratio: number;
}

interface SpeedChange {
  readonly runner: string;
  readonly slowness: number;
  readonly before: number;
  readonly samples: number;
}

interface DomainSums {
  readonly failureDomain: string;
  readonly speeds: Readonly<Record<string, SpeedSums>>;
  /** The sums include the samples that this node has reported. */
  readonly includesOwn: boolean;
}

/** Time constant with which samples are discounted, in milliseconds; after 20 s 14 in 100 remain. */
const DISCOUNT_MS = 10_000;
/** Number of samples with a ratio of 1 that each estimate starts from. */
const PRIOR_SAMPLES = 4;
const MIN_SLOWNESS = 0.2;
const MAX_SLOWNESS = 8;
const MIN_LOG = Math.log(MIN_SLOWNESS);
const MAX_LOG = Math.log(MAX_SLOWNESS);
/** Bound of the logarithm of a ratio before it is compared with others of its kind. */
const MAX_RAW_LOG = Math.log(10_000);
/** Error of a mean logarithm that rounding to whole numbers causes. */
const ROUNDING = 0.1;
/** Time within which a momentary speed decays to the lasting one, in milliseconds. */
const MOMENTARY_MS = 300;
/** Weight of a new sample in the mean of its kind, by which ratios are normalized. */
const KIND_GAIN = 0.02;
const MAX_KINDS = 1_000;
/** Runners in a message, so that it stays small on links of 7 Mbit/s that 60 nodes share. */
const MAX_REPORTED = 20;
/** Time for which a runner with new samples is reported again, because messages get lost, in milliseconds. */
const REPORT_AGAIN_MS = 300;
/** Sums with fewer samples are not worth a place in a message. */
const MIN_REPORTED_SAMPLES = 0.5;
/** Samples of a sender about a runner above which its figure is not believed. */
const MAX_SAMPLES = 10_000;
/** Runners of a sender that are kept. */
const MAX_RUNNERS = 4_096;
const MAX_SOURCES = 4_096;
const COUNT_UNIT = 10;
const LOG_UNIT = 100;
/** Interval between two checks for runners that are no longer listed or whose estimates have changed. */
const CHECK_PERIOD_MS = 5_000;
/** Ratio of two estimates above which the change is logged. */
const NOTED_CHANGE = 1.25;
const MAX_CHANGES = 8;
const NO_SUMS: Sums = { count: 0, logSum: 0, at: 0 };

function clamp(value: number, min: number, max: number): number {
  return Math.min(max, Math.max(min, value));
}

function discounted(sums: Sums, now: number): Sums {
  if (sums.count === 0) return { count: 0, logSum: 0, at: now };
  const weight = Math.exp((sums.at - now) / DISCOUNT_MS);
  return { count: sums.count * weight, logSum: sums.logSum * weight, at: now };
}

/** Both sums must be discounted to the same time. */
function plus(a: Sums, b: Sums): Sums {
  return { count: a.count + b.count, logSum: a.logSum + b.logSum, at: a.at };
}

/** Both sums must be discounted to the same time. */
function minus(a: Sums, b: Sums): Sums {
  if (a.count <= b.count) return { count: 0, logSum: 0, at: a.at };
  return { count: a.count - b.count, logSum: a.logSum - b.logSum, at: a.at };
}

function encode({ count, logSum }: Sums): SpeedSums {
  return [Math.round(count * COUNT_UNIT), Math.round(logSum * LOG_UNIT)];
}

/** Returns undefined for figures that no sender of this build states. */
function decode([tenths, hundredths]: SpeedSums, at: number): Sums | undefined {
  const count = tenths / COUNT_UNIT;
  const mean = hundredths / LOG_UNIT / count;
  if (!(count >= MIN_REPORTED_SAMPLES && count <= MAX_SAMPLES)) return undefined;
  if (!(mean >= MIN_LOG - ROUNDING && mean <= MAX_LOG + ROUNDING)) return undefined;
  return { count, logSum: count * clamp(mean, MIN_LOG, MAX_LOG), at };
}

/**
 * Lasting and momentary speeds of runners, for services of which some runner states its momentary speed.
 * The lasting speed of a boot is a mean over the samples of all nodes: each node reports its discounted
 * sums, which replace those that it reported before, so that a lost or repeated message counts nothing
 * twice. With 60 nodes and 60 runners a node alone sees a runner once in 9 s.
 */
export class RunnerSpeeds {
  readonly #clock: Clock;
  readonly #services = new Set<string>();
  /** Mean logarithm of the ratios of a kind of requests. */
  readonly #kinds = new Map<string, MovingAverage>();
  readonly #momentary = new Map<string, Momentary>();
  readonly #own = new Map<string, Sums>();
  /** Sums of this node as they were last reported. */
  readonly #reported = new Map<string, Sums>();
  /** Sums of other nodes and failure domains, by sender and runner. */
  readonly #sources = new Map<string, Map<string, Sums>>();
  /** Sums over this node and all sources. */
  readonly #totals = new Map<string, Sums>();
  /** Runners with new samples of this node, and when they were first reported. */
  readonly #unreported = new Map<string, number | undefined>();
  /** Runners with new samples of this node or its peers, the longest waiting first. */
  readonly #undigested = new Set<string>();
  readonly #logged = new Map<string, number>();
  #checkedAt = 0;
  #retainedAt = 0;
  #rejectedSources: ReadonlySet<string> = new Set();
  #newlyRejected: readonly string[] = [];

  constructor({ clock }: RunnerSpeedsOptions) {
    this.#clock = clock;
  }

  /** No runner has stated its momentary speed, and no node has reported samples. */
  get isEmpty(): boolean {
    return this.#services.size === 0 && this.#totals.size === 0;
  }

  /** Number of runners with an estimate. */
  get size(): number {
    return this.#totals.size;
  }

  /** Some runner of the service has stated its momentary speed. */
  appliesTo(service: string): boolean {
    return this.#services.has(service);
  }

  /** Records how long work takes at a runner at the moment, relative to its usual time. */
  recordMomentary(service: string, runner: string, slowness: number): void {
    if (!(slowness > 0) || !Number.isFinite(slowness)) return;
    this.#services.add(service);
    const bounded = clamp(slowness, MIN_SLOWNESS, MAX_SLOWNESS);
    this.#momentary.set(runner, { slowness: bounded, at: this.#clock.monotonic() });
  }

  /** Records the duration of a response to this node. */
  record({ service, runner, kind, ratio }: SpeedSample): void {
    if (!this.appliesTo(service) || !(ratio > 0) || !Number.isFinite(ratio)) return;
    const log = clamp(Math.log(ratio), -MAX_RAW_LOG, MAX_RAW_LOG);
    const usual = this.#usualLog(`${service} ${kind}`, log);
    const now = this.#clock.monotonic();
    const sample = { count: 1, logSum: clamp(log - usual, MIN_LOG, MAX_LOG), at: now };
    this.#own.set(runner, plus(discounted(this.#own.get(runner) ?? NO_SUMS, now), sample));
    this.#totals.set(runner, plus(discounted(this.#totals.get(runner) ?? NO_SUMS, now), sample));
    this.#unreported.set(runner, undefined);
    this.#undigested.add(runner);
  }

  /** Time that work takes at a runner in the long run, relative to the mean of its service. */
  lastingOf(runner: string): number {
    const total = this.#totals.get(runner);
    if (!total) return 1;
    const { count, logSum } = discounted(total, this.#clock.monotonic());
    return clamp(Math.exp(logSum / (count + PRIOR_SAMPLES)), MIN_SLOWNESS, MAX_SLOWNESS);
  }

  /** Time that work takes at a runner now, relative to the mean of its service. */
  slownessOf(runner: string): number {
    const lasting = this.lastingOf(runner);
    const momentary = this.#momentary.get(runner);
    if (!momentary) return lasting;
    const weight = 1 - (this.#clock.monotonic() - momentary.at) / MOMENTARY_MS;
    if (weight <= 0) return lasting;
    return clamp(lasting * (1 + (momentary.slowness - 1) * weight), MIN_SLOWNESS, MAX_SLOWNESS);
  }

  /** What the lasting speed of a runner is based on; undefined without samples. */
  estimateOf(runner: string): SpeedEstimate | undefined {
    const total = this.#totals.get(runner);
    if (!total) return undefined;
    const now = this.#clock.monotonic();
    return {
      slowness: this.lastingOf(runner),
      samples: discounted(total, now).count,
      ownSamples: discounted(this.#own.get(runner) ?? NO_SUMS, now).count,
      ageMs: now - total.at,
    };
  }

  /** What this node tells its peers: its sums for runners with new samples; undefined when there are none. */
  takeReport(): Readonly<Record<string, SpeedSums>> | undefined {
    if (this.#unreported.size === 0) return undefined;
    const now = this.#clock.monotonic();
    const speeds: [string, SpeedSums][] = [];
    for (const [runner, firstAt = now] of this.#unreported) {
      if (now - firstAt >= REPORT_AGAIN_MS) {
        this.#unreported.delete(runner);
        continue;
      }
      if (speeds.length >= MAX_REPORTED) break;
      const sums = discounted(this.#own.get(runner) ?? NO_SUMS, now);
      if (sums.count < MIN_REPORTED_SAMPLES) {
        this.#unreported.delete(runner);
        continue;
      }
      this.#unreported.set(runner, firstAt);
      this.#reported.set(runner, sums);
      speeds.push([runner, encode(sums)]);
    }
    return speeds.length === 0 ? undefined : Object.fromEntries(speeds);
  }

  /**
   * What a relay tells of this node and the given nodes: sums for runners with new samples; undefined when
   * there are none. The runners that a digest has no place for are in the following ones.
   */
  takeDigest(nodes: Iterable<string>): Readonly<Record<string, SpeedSums>> | undefined {
    if (this.#undigested.size === 0) return undefined;
    const now = this.#clock.monotonic();
    const sources = [...nodes].flatMap((node) => this.#sources.get(node) ?? []);
    const speeds: [string, SpeedSums][] = [];
    for (const runner of this.#undigested) {
      if (speeds.length >= MAX_REPORTED) break;
      this.#undigested.delete(runner);
      let sums = discounted(this.#own.get(runner) ?? NO_SUMS, now);
      for (const source of sources) {
        const known = source.get(runner);
        if (known) sums = plus(sums, discounted(known, now));
      }
      if (sums.count >= MIN_REPORTED_SAMPLES) speeds.push([runner, encode(sums)]);
    }
    return speeds.length === 0 ? undefined : Object.fromEntries(speeds);
  }

  /** Applies the report of a node. */
  setPeer(node: string, speeds: Readonly<Record<string, SpeedSums>>): void {
    const now = this.#clock.monotonic();
    for (const [runner, stated] of Object.entries(speeds)) {
      const sums = decode(stated, now);
      if (!sums) this.#reject(node);
      else if (this.#replace(node, runner, sums)) this.#undigested.add(runner);
    }
  }

  /** Applies the digest of a failure domain. */
  setDomain({ failureDomain, speeds, includesOwn }: DomainSums): void {
    const now = this.#clock.monotonic();
    const source = RunnerSpeeds.#domainKey(failureDomain);
    for (const [runner, stated] of Object.entries(speeds)) {
      const sums = decode(stated, now);
      if (!sums) {
        this.#reject(source);
        continue;
      }
      const own = includesOwn ? this.#reported.get(runner) : undefined;
      this.#replace(source, runner, own ? minus(sums, discounted(own, now)) : sums);
    }
  }

  /** Drops the sums of a node, which are part of a digest. */
  forgetPeer(node: string): void {
    this.#forget(node);
  }

  /** Drops the sums of a failure domain, whose nodes report themselves. */
  forgetDomain(failureDomain: string): void {
    this.#forget(RunnerSpeeds.#domainKey(failureDomain));
  }

  /** Drops what is known of other runners and services; looks at most once in 5 s. */
  retain(runners: ReadonlySet<string>, services: ReadonlySet<string>): void {
    const now = this.#clock.monotonic();
    if (now - this.#retainedAt < CHECK_PERIOD_MS) return;
    this.#retainedAt = now;
    for (const service of this.#services) {
      if (!services.has(service)) this.#services.delete(service);
    }
    const maps: readonly Map<string, unknown>[] = [
      this.#momentary,
      this.#own,
      this.#reported,
      this.#totals,
      this.#unreported,
      this.#logged,
      ...this.#sources.values(),
    ];
    for (const map of maps) {
      for (const runner of map.keys()) if (!runners.has(runner)) map.delete(runner);
    }
    for (const runner of this.#undigested) {
      if (!runners.has(runner)) this.#undigested.delete(runner);
    }
    for (const [source, byRunner] of this.#sources) {
      if (byRunner.size === 0) this.#sources.delete(source);
    }
  }

  /** Returns estimates that have changed by a quarter since they were last returned; a few in 5 s. */
  takeChanges(): readonly SpeedChange[] {
    const now = this.#clock.monotonic();
    if (this.#totals.size === 0 || now - this.#checkedAt < CHECK_PERIOD_MS) return [];
    this.#checkedAt = now;
    const changes: SpeedChange[] = [];
    for (const [runner, total] of this.#totals) {
      if (changes.length >= MAX_CHANGES) break;
      const before = this.#logged.get(runner) ?? 1;
      const slowness = this.lastingOf(runner);
      if (Math.max(slowness / before, before / slowness) < NOTED_CHANGE) continue;
      this.#logged.set(runner, slowness);
      changes.push({ runner, slowness, before, samples: discounted(total, now).count });
    }
    return changes;
  }

  /** Returns the senders of invalid figures, each of them once. */
  takeRejected(): readonly string[] {
    const rejected = this.#newlyRejected;
    this.#newlyRejected = [];
    return rejected;
  }

  static #domainKey(failureDomain: string): string {
    return `domain ${failureDomain}`;
  }

  /** The mean of a kind before a sample, which the sample is added to. */
  #usualLog(kind: string, log: number): number {
    let mean = this.#kinds.get(kind);
    if (!mean) {
      if (this.#kinds.size >= MAX_KINDS) this.#kinds.clear();
      mean = new MovingAverage(0, KIND_GAIN);
      this.#kinds.set(kind, mean);
    }
    mean.add(log);
    return mean.value;
  }

  /** Replaces the sums of a source for a runner; false when there is no place for them. */
  #replace(source: string, runner: string, sums: Sums): boolean {
    let byRunner = this.#sources.get(source);
    if (!byRunner) {
      if (this.#sources.size >= MAX_SOURCES) return false;
      byRunner = new Map();
      this.#sources.set(source, byRunner);
    }
    const before = byRunner.get(runner);
    if (!before && byRunner.size >= MAX_RUNNERS) return false;
    byRunner.set(runner, sums);
    this.#subtract(runner, before);
    this.#totals.set(runner, plus(this.#totalAt(runner, sums.at), sums));
    return true;
  }

  #forget(source: string): void {
    const byRunner = this.#sources.get(source);
    if (!byRunner) return;
    this.#sources.delete(source);
    for (const [runner, sums] of byRunner) this.#subtract(runner, sums);
  }

  #subtract(runner: string, sums: Sums | undefined): void {
    if (!sums || !this.#totals.has(runner)) return;
    const now = this.#clock.monotonic();
    this.#totals.set(runner, minus(this.#totalAt(runner, now), discounted(sums, now)));
  }

  #totalAt(runner: string, now: number): Sums {
    return discounted(this.#totals.get(runner) ?? NO_SUMS, now);
  }

  #reject(source: string): void {
    if (this.#rejectedSources.has(source) || this.#rejectedSources.size >= MAX_SOURCES) return;
    this.#rejectedSources = new Set([...this.#rejectedSources, source]);
    this.#newlyRejected = [...this.#newlyRejected, source];
  }
}
