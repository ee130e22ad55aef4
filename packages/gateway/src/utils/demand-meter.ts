import type { Clock } from '@ragwortrudder/core';
import type { Demand } from '../types/demand.ts';

interface Sample {
  readonly at: number;
  readonly total: Demand;
}

/** Time over which demand is averaged, in milliseconds: long against single large prompts, short against the start of a runner. */
const WINDOW_MS = 4_000;
const MS_PER_S = 1_000;
const NOTHING: Demand = { requests: 0, promptTokens: 0, outputTokens: 0 };

function plus(a: Demand, b: Demand): Demand {
  return {
    requests: a.requests + b.requests,
    promptTokens: a.promptTokens + b.promptTokens,
    outputTokens: a.outputTokens + b.outputTokens,
  };
}

/** Demand for each service over all nodes, from running totals of each. */
export class DemandMeter {
  readonly #clock: Clock;
  readonly #own = new Map<string, Demand>();
  readonly #samples = new Map<string, Sample[]>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** This node's totals by service. */
  get own(): ReadonlyMap<string, Demand> {
    return this.#own;
  }

  /** Adds a request of this node. */
  add(service: string, demand: Demand): void {
    const total = plus(this.#own.get(service) ?? NOTHING, demand);
    this.#own.set(service, total);
    this.setTotal('', service, total);
  }

  /** Takes in the totals of a node's life; the own node's is ''. */
  setTotal(life: string, service: string, total: Demand): void {
    const key = `${service} ${life}`;
    const now = this.#clock.monotonic();
    const samples = this.#samples.get(key) ?? [{ at: now, total: life === '' ? NOTHING : total }];
    samples.push({ at: now, total });
    while (samples.length > 1 && now - (samples[1]?.at ?? now) > WINDOW_MS) samples.shift();
    this.#samples.set(key, samples);
  }

  /** Demand per second for a service. */
  perSecond(service: string): Demand {
    const now = this.#clock.monotonic();
    let sum = NOTHING;
    for (const [key, samples] of this.#samples) {
      if (!key.startsWith(`${service} `)) continue;
      const first = samples[0];
      const last = samples.at(-1);
      if (!first || !last || now - last.at > WINDOW_MS) continue;
      const seconds = Math.max(WINDOW_MS / 2, Math.min(WINDOW_MS, now - first.at)) / MS_PER_S;
      sum = plus(sum, {
        requests: (last.total.requests - first.total.requests) / seconds,
        promptTokens: (last.total.promptTokens - first.total.promptTokens) / seconds,
        outputTokens: (last.total.outputTokens - first.total.outputTokens) / seconds,
      });
    }
    return sum;
  }
}
