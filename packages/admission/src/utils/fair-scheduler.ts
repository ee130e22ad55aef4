interface Flow {
  readonly weight: number;
  /** Virtual time at which the flow's next request starts. */
  readonly start: number;
  readonly active: boolean;
}

/**
 * Start-time fair queueing: among active flows the one with the smallest virtual start time is
 * served next, and each charge advances its start by cost divided by weight. A flow that was idle
 * restarts at the current virtual time, so it gains neither credit nor debt while idle.
 */
export class FairScheduler<K> {
  readonly #flows = new Map<K, Flow>();
  #virtualTime = 0;

  /** Marks a flow as having requests to serve. */
  activate(key: K, weight: number): void {
    const flow = this.#flows.get(key);
    if (flow?.active) return;
    const start = Math.max(this.#virtualTime, flow?.start ?? 0);
    this.#flows.set(key, { weight, start, active: true });
  }

  /** Marks a flow as having no requests left. */
  deactivate(key: K): void {
    const flow = this.#flows.get(key);
    if (!flow) return;
    if (flow.start <= this.#virtualTime) this.#flows.delete(key);
    else this.#flows.set(key, { ...flow, active: false });
  }

  /** Returns the key of the active flow to serve next. */
  next(): K | undefined {
    let best: K | undefined;
    let bestStart = Infinity;
    for (const [key, { active, start }] of this.#flows) {
      if (!active || start >= bestStart) continue;
      best = key;
      bestStart = start;
    }
    return best;
  }

  /** Charges a flow for a request that is being served. */
  charge(key: K, cost: number): void {
    const flow = this.#flows.get(key);
    if (!flow) return;
    this.#virtualTime = Math.max(this.#virtualTime, flow.start);
    this.#flows.set(key, { ...flow, start: flow.start + cost / flow.weight });
    this.#prune();
  }

  /** Adjusts an earlier charge by `difference`, which may be negative. */
  adjust(key: K, difference: number, weight: number): void {
    const flow = this.#flows.get(key) ?? { weight, start: this.#virtualTime, active: false };
    this.#flows.set(key, { ...flow, start: flow.start + difference / flow.weight });
  }

  /** Fraction of the capacity that `key` receives while the set of active flows stays the same. */
  share(key: K, weight: number): number {
    let total = weight;
    for (const [other, flow] of this.#flows) {
      if (other !== key && flow.active) total += flow.weight;
    }
    return weight / total;
  }

  #prune(): void {
    for (const [key, flow] of this.#flows) {
      if (!flow.active && flow.start <= this.#virtualTime) this.#flows.delete(key);
    }
  }
}
