import type { CircuitState } from '../types/circuit-state.ts';
import type { OutlierOptions } from '../types/outlier-options.ts';
import type { RequestOutcome } from '../types/request-outcome.ts';
import { CircuitBreaker } from './circuit-breaker.ts';

const DEFAULT_MAX_EJECTED_SHARE = 1 / 3;
/** Minimum number of peers with a known latency for the comparison with their median. */
const MIN_PEERS = 2;

function medianOf(values: readonly number[]): number | undefined {
  if (values.length < MIN_PEERS) return undefined;
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) / 2)];
}

/**
 * Ejects failing and slow runners of one service, but never more than a fraction of them at once:
 * when most runners fail, the cause is likely elsewhere and the rest could not handle the load.
 */
export class OutlierDetector {
  readonly #options: OutlierOptions;
  readonly #circuits = new Map<string, CircuitBreaker>();

  constructor(options: OutlierOptions = {}) {
    this.#options = options;
  }

  /** Sets the runners of the service and removes the state of all others. */
  setRunners(runnerIds: readonly string[]): void {
    const currentIds = new Set(runnerIds);
    for (const id of this.#circuits.keys()) if (!currentIds.has(id)) this.#circuits.delete(id);
    for (const id of currentIds) if (!this.#circuits.has(id)) this.#add(id);
  }

  /** Returns the circuit state of a runner; an unknown runner counts as `closed`. */
  state(runnerId: string, now: number): CircuitState {
    return this.#circuits.get(runnerId)?.state(now) ?? 'closed';
  }

  /** True while a runner must not receive a request. */
  isEjected(runnerId: string, now: number): boolean {
    return this.#circuits.get(runnerId)?.allows(now) === false;
  }

  /** Records that a request was sent to a runner. */
  recordSent(runnerId: string, now: number): void {
    this.#circuits.get(runnerId)?.recordSent(now);
  }

  /** Records the outcome of a request; returns true when it caused the ejection of the runner. */
  record(runnerId: string, outcome: RequestOutcome, now: number): boolean {
    const circuit = this.#circuits.get(runnerId);
    if (!circuit?.record(outcome, this.#peerLatencyMs(runnerId), now)) return false;
    if (!this.#canEject(runnerId, now)) return false;
    circuit.open(now);
    return true;
  }

  /** Runners whose circuit is open or half-open. */
  ejected(now: number): readonly string[] {
    const entries = [...this.#circuits];
    return entries.filter(([, circuit]) => circuit.state(now) !== 'closed').map(([id]) => id);
  }

  #add(id: string): void {
    this.#circuits.set(id, new CircuitBreaker(this.#options));
  }

  #canEject(runnerId: string, now: number): boolean {
    const maxShare = this.#options.maxEjectedShare ?? DEFAULT_MAX_EJECTED_SHARE;
    const otherEjected = this.ejected(now).filter((id) => id !== runnerId);
    return otherEjected.length + 1 <= this.#circuits.size * maxShare + Number.EPSILON;
  }

  #peerLatencyMs(runnerId: string): number | undefined {
    const latencies: number[] = [];
    for (const [id, { latencyMs }] of this.#circuits) {
      if (id !== runnerId && latencyMs !== undefined) latencies.push(latencyMs);
    }
    return medianOf(latencies);
  }
}
