import type { Clock } from '@ragwortrudder/core';
import type { Demand } from '../types/demand.ts';

interface Sample {
  /** Monotonic time, in milliseconds. */
  readonly at: number;
  readonly total: Demand;
}

/** Running total of a node at the start of the window that its newest total ends. */
interface EarlierTotal {
  readonly agoMs: number;
  readonly total: Demand;
}

/**
 * Averaging window for demand, in milliseconds: long enough to smooth out single large prompts,
 * short compared with the start-up of a runner.
 */
const WINDOW_MS = 4_000;
const MS_PER_S = 1_000;
const NO_DEMAND: Demand = { requests: 0, promptTokens: 0, outputTokens: 0 };

function addDemand(a: Demand, b: Demand): Demand {
  return {
    requests: a.requests + b.requests,
    promptTokens: a.promptTokens + b.promptTokens,
    outputTokens: a.outputTokens + b.outputTokens,
  };
}

/** Demand for each service over all nodes, computed from the running totals of each node. */
export class DemandMeter {
  readonly #clock: Clock;
  readonly #own = new Map<string, Demand>();
  readonly #samples = new Map<string, Sample[]>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Running totals of this node by service. */
  get own(): ReadonlyMap<string, Demand> {
    return this.#own;
  }

  /** By service: running total of this node at the start of the window. */
  get ownEarlier(): ReadonlyMap<string, EarlierTotal> {
    const now = this.#clock.monotonic();
    return new Map(
      [...this.#own.keys()].flatMap((service) => {
        const samples = this.#samples.get(keyOf(service, '')) ?? [];
        dropBeforeWindow(samples, now);
        const [first] = samples;
        return first ? [[service, { agoMs: now - first.at, total: first.total }]] : [];
      }),
    );
  }

  /** Adds demand to this node's total. */
  add(service: string, demand: Demand): void {
    const total = addDemand(this.#own.get(service) ?? NO_DEMAND, demand);
    this.#own.set(service, total);
    this.setTotal('', service, total);
  }

  /**
   * Records the running total of a node incarnation; '' stands for this node. Where totals of it have not
   * been heard within the window, `earlier` tells what of the total is recent.
   */
  setTotal(incarnation: string, service: string, total: Demand, earlier?: EarlierTotal): void {
    const key = keyOf(service, incarnation);
    const now = this.#clock.monotonic();
    const known = this.#samples.get(key);
    const isRecent = now - (known?.at(-1)?.at ?? -Infinity) <= WINDOW_MS;
    const start = earlier ? { at: now - earlier.agoMs, total: earlier.total } : { at: now, total };
    const samples = known && (isRecent || !earlier) ? known : [start];
    samples.push({ at: now, total });
    dropBeforeWindow(samples, now);
    this.#samples.set(key, samples);
  }

  /** Number of nodes whose recent demand for a service is known, including this one. */
  nodeCount(service: string): number {
    return [...this.#recent(service)].length;
  }

  /** Demand per second for a service, over all nodes. */
  perSecond(service: string): Demand {
    const now = this.#clock.monotonic();
    let sum = NO_DEMAND;
    for (const { first, last } of this.#recent(service)) {
      const seconds = Math.max(WINDOW_MS / 2, Math.min(WINDOW_MS, now - first.at)) / MS_PER_S;
      sum = addDemand(sum, {
        requests: (last.total.requests - first.total.requests) / seconds,
        promptTokens: (last.total.promptTokens - first.total.promptTokens) / seconds,
        outputTokens: (last.total.outputTokens - first.total.outputTokens) / seconds,
      });
    }
    return sum;
  }

  /** The first and the last sample of each node that has told of its demand within the window. */
  *#recent(service: string): Generator<{ readonly first: Sample; readonly last: Sample }> {
    const now = this.#clock.monotonic();
    for (const [key, samples] of this.#samples) {
      if (!key.startsWith(keyOf(service, ''))) continue;
      const first = samples[0];
      const last = samples.at(-1);
      if (first && last && now - last.at <= WINDOW_MS) yield { first, last };
    }
  }
}

function keyOf(service: string, incarnation: string): string {
  return `${service} ${incarnation}`;
}

/** Drops all samples before the window but the last one of them. */
function dropBeforeWindow(samples: Sample[], now: number): void {
  while (samples.length > 1 && now - (samples[1]?.at ?? now) > WINDOW_MS) samples.shift();
}
