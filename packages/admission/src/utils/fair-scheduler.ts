interface Flow {
  readonly weight: number;
  /** Virtual time at which the flow's next request starts. */
  readonly start: number;
  readonly active: boolean;
}

/**
 * Start-time fair queueing: among active flows the one with the smallest virtual start time is
 * served next, and each cost moves its start on by cost over weight. A flow that was idle starts
 * at the current virtual time, so it neither saves up service nor pays for its absence.
 */
export class FairShares<K> {
  readonly #flows = new Map<K, Flow>();
  #virtualTime = 0;

  /** Declares that a flow has requests to be served. */
  activate(key: K, weight: number): void {
    const flow = this.#flows.get(key);
    if (flow?.active) return;
    const start = Math.max(this.#virtualTime, flow?.start ?? 0);
    this.#flows.set(key, { weight, start, active: true });
  }

  /** Declares that a flow has no requests left. */
  deactivate(key: K): void {
    const flow = this.#flows.get(key);
    if (!flow) return;
    if (flow.start <= this.#virtualTime) this.#flows.delete(key);
    else this.#flows.set(key, { ...flow, active: false });
  }

  /** Returns the active flow to be served next. */
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

  /** Charges a flow for a request that is served now. */
  charge(key: K, cost: number): void {
    const flow = this.#flows.get(key);
    if (!flow) return;
    this.#virtualTime = Math.max(this.#virtualTime, flow.start);
    this.#flows.set(key, { ...flow, start: flow.start + cost / flow.weight });
    this.#prune();
  }

  /** Corrects an earlier charge by `difference`, which may be negative. */
  correct(key: K, difference: number, weight: number): void {
    const flow = this.#flows.get(key) ?? { weight, start: this.#virtualTime, active: false };
    this.#flows.set(key, { ...flow, start: flow.start + difference / flow.weight });
  }

  /** Part of the service that `key` receives while the flows active now stay so. */
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
