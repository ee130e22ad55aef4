import { readFileSync } from 'node:fs';
import type { Closeable } from '@ragwortrudder/core';
import { MemoryPeaks } from '../utils/memory-peaks.ts';
import type { SoakNode } from './soak-node.ts';

type SampledNode = Pick<SoakNode, 'id' | 'pid'>;

const SAMPLE_MS = 100;
const RESIDENT = /^VmRSS:\s+(\d+) kB$/m;

/** Resident memory of a process in KB; undefined once it has ended. */
function residentKb(pid: number): number | undefined {
  try {
    const text = RESIDENT.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1];
    return text === undefined ? undefined : Number(text);
  } catch (error) {
    const { code } = error as NodeJS.ErrnoException;
    if (code === 'ENOENT' || code === 'ESRCH') return undefined;
    throw error;
  }
}

/** Samples the memory of the nodes' processes, and how late the timers of the soak itself are. */
export class MemorySampler implements Closeable {
  readonly peaks = new MemoryPeaks();
  #nodes: readonly SampledNode[] = [];
  #timer: NodeJS.Timeout | undefined;
  #sampledAt = 0;
  #maxLagMs = 0;

  /** Longest time by which a sample was late, in milliseconds. */
  get maxLagMs(): number {
    return this.#maxLagMs;
  }

  /** Takes the present memory of each node, which is ready, as the one without traffic. */
  start(nodes: readonly SampledNode[]): void {
    this.#nodes = nodes;
    this.#sample((id, kilobytes) => {
      this.peaks.recordReady(id, kilobytes);
    });
    const startedAt = performance.now();
    this.#sampledAt = startedAt;
    this.#timer = setInterval(() => {
      const now = performance.now();
      this.#maxLagMs = Math.max(this.#maxLagMs, now - this.#sampledAt - SAMPLE_MS);
      this.#sampledAt = now;
      this.#sample((id, kilobytes) => {
        this.peaks.record(id, kilobytes, now - startedAt);
      });
    }, SAMPLE_MS);
  }

  close(): Promise<void> {
    clearInterval(this.#timer);
    return Promise.resolve();
  }

  #sample(record: (id: string, kilobytes: number) => void): void {
    for (const { id, pid } of this.#nodes) {
      const kilobytes = pid === undefined ? undefined : residentKb(pid);
      if (kilobytes !== undefined) record(id, kilobytes);
    }
  }
}
