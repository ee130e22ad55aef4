import { inject, injectable } from 'inversify';
import { RunnerPool } from '../runners/runner-pool.ts';

const MAX_KNOWN = 4096;

/** VMs that are drained to be returned: their runners take no new work on any node. */
@injectable()
export class ReturningVms {
  readonly #pool: Pick<RunnerPool, 'markLeaving' | 'leavingVms'>;
  readonly #known = new Set<string>();
  readonly #own = new Set<string>();

  constructor(@inject(RunnerPool) pool: Pick<RunnerPool, 'markLeaving' | 'leavingVms'>) {
    this.#pool = pool;
  }

  /** VMs that this node drains, for its report. */
  get own(): readonly string[] {
    return [...this.#own];
  }

  /** True for a VM that this node or another one drains. */
  has(vmId: string): boolean {
    return this.#known.has(vmId);
  }

  /** Starts to drain a VM; requests on it are finished without a time limit. */
  drain(vmId: string): void {
    this.#own.add(vmId);
    this.learn([vmId]);
  }

  /** Ends the drain of a VM that is gone. */
  gone(vmId: string): void {
    this.#own.delete(vmId);
  }

  /** Takes in what other nodes drain. */
  learn(vmIds: readonly string[]): void {
    const leaving = new Set(this.#pool.leavingVms);
    for (const vmId of vmIds) {
      if (this.#known.has(vmId)) continue;
      this.#known.add(vmId);
      if (!leaving.has(vmId)) this.#pool.markLeaving(vmId, Infinity);
    }
    this.#prune();
  }

  #prune(): void {
    for (const vmId of this.#known) {
      if (this.#known.size <= MAX_KNOWN) return;
      this.#known.delete(vmId);
    }
  }
}
