import type { Violation } from '../types/violation.ts';

const KB_PER_MB = 1_024;
/** Memory of the weakest VM, in MB. */
const VM_MB = 250;
/** Memory of the built program when it is ready, in MB; the soak's loader takes more. */
const READY_MB = 81;
const MAX_GROWTH_MB = VM_MB - READY_MB;

interface Peak {
  readonly kilobytes: number;
  /** Time after the start of the traffic, in milliseconds. */
  readonly atMs: number;
}

/** Memory of nodes over their memory when they got ready, which must fit the weakest VM. */
export class MemoryPeaks {
  readonly #readyKb = new Map<string, number>();
  readonly #peaks = new Map<string, Peak>();

  /** Records the memory of a node that is ready and has had no requests. */
  recordReady(node: string, kilobytes: number): void {
    this.#readyKb.set(node, kilobytes);
  }

  record(node: string, kilobytes: number, atMs: number): void {
    if (kilobytes > (this.#peaks.get(node)?.kilobytes ?? 0)) {
      this.#peaks.set(node, { kilobytes, atMs });
    }
  }

  /** Highest memory of each node over the one when it was ready, in MB. */
  get growthMb(): Readonly<Record<string, number>> {
    return Object.fromEntries(
      [...this.#readyKb].map(([node, readyKb]) => {
        const growthKb = Math.max(0, (this.#peaks.get(node)?.kilobytes ?? 0) - readyKb);
        return [node, Math.round(growthKb / KB_PER_MB)];
      }),
    );
  }

  check(): readonly Violation[] {
    return Object.entries(this.growthMb).flatMap(([node, growthMb]) => {
      if (growthMb < MAX_GROWTH_MB) return [];
      const { atMs = 0 } = this.#peaks.get(node) ?? {};
      const message = `${node} had ${growthMb} MB more than when it was ready, ${MAX_GROWTH_MB} fit, ${Math.round(atMs)} ms after the start`;
      return [{ promise: 'memory', message }];
    });
  }
}
