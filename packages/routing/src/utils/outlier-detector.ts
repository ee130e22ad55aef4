import type { CircuitState } from '../types/circuit-state.ts';
import type { OutlierOptions } from '../types/outlier-options.ts';
import type { RequestOutcome } from '../types/request-outcome.ts';
import { Circuit } from './circuit.ts';

const DEFAULT_MAX_ASIDE_SHARE = 1 / 3;
/** Slowness is judged against the median of at least this many peers. */
const MIN_PEERS = 2;

function medianOf(values: readonly number[]): number | undefined {
  if (values.length < MIN_PEERS) return undefined;
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) / 2)];
}

/**
 * Sets failing and slow runners of one service aside, never more than a part of them at once: when
 * most fail, the cause is likely elsewhere and the rest could not carry the load.
 */
export class OutlierDetector {
  readonly #options: OutlierOptions;
  readonly #circuits = new Map<string, Circuit>();

  constructor(options: OutlierOptions = {}) {
    this.#options = options;
  }

  /** Declares the runners of the service; others are forgotten. */
  setRunners(runnerIds: readonly string[]): void {
    const wanted = new Set(runnerIds);
    for (const id of this.#circuits.keys()) if (!wanted.has(id)) this.#circuits.delete(id);
    for (const id of wanted) if (!this.#circuits.has(id)) this.#add(id);
  }

  /** Circuit state of a runner. */
  state(runnerId: string, now: number): CircuitState {
    return this.#circuits.get(runnerId)?.state(now) ?? 'closed';
  }

  /** True while a runner must not receive a request. */
  isSetAside(runnerId: string, now: number): boolean {
    return this.#circuits.get(runnerId)?.allows(now) === false;
  }

  /** Notes that a request was sent to a runner. */
  sent(runnerId: string, now: number): void {
    this.#circuits.get(runnerId)?.sent(now);
  }

  /** Takes in the outcome of a request; returns true when the runner was set aside by it. */
  record(runnerId: string, outcome: RequestOutcome, now: number): boolean {
    const circuit = this.#circuits.get(runnerId);
    if (!circuit?.record(outcome, this.#peerLatencyMs(runnerId), now)) return false;
    if (!this.#mayOpen(runnerId, now)) return false;
    circuit.open(now);
    return true;
  }

  /** Runners that are set aside or being let back in. */
  aside(now: number): readonly string[] {
    const entries = [...this.#circuits];
    return entries.filter(([, circuit]) => circuit.state(now) !== 'closed').map(([id]) => id);
  }

  #add(id: string): void {
    this.#circuits.set(id, new Circuit(this.#options));
  }

  #mayOpen(runnerId: string, now: number): boolean {
    const share = this.#options.maxAsideShare ?? DEFAULT_MAX_ASIDE_SHARE;
    const others = this.aside(now).filter((id) => id !== runnerId);
    return others.length + 1 <= this.#circuits.size * share + Number.EPSILON;
  }

  #peerLatencyMs(runnerId: string): number | undefined {
    const latencies: number[] = [];
    for (const [id, { latencyMs }] of this.#circuits) {
      if (id !== runnerId && latencyMs !== undefined) latencies.push(latencyMs);
    }
    return medianOf(latencies);
  }
}
