import { inject, injectable } from 'inversify';
import { RunnerPool } from '../runners/runner-pool.ts';

const MAX_TRACKED_VMS = 4096;

/** VMs that are drained to be returned: their runners take no new work on any node. */
@injectable()
export class ReturningVms {
  readonly #pool: Pick<RunnerPool, 'markLeaving' | 'leavingVms'>;
  readonly #returning = new Set<string>();
  readonly #drainedHere = new Set<string>();

  constructor(@inject(RunnerPool) pool: Pick<RunnerPool, 'markLeaving' | 'leavingVms'>) {
    this.#pool = pool;
  }

  /** VMs that this node drains, for its report. */
  get drainedHere(): readonly string[] {
    return [...this.#drainedHere];
  }

  /** True for a VM that this node or another one drains. */
  has(vmId: string): boolean {
    return this.#returning.has(vmId);
  }

  /** Starts to drain a VM; requests on it are finished without a time limit. */
  drain(vmId: string): void {
    this.#drainedHere.add(vmId);
    this.addReported([vmId]);
  }

  /** Ends the drain of a VM that is gone. */
  forget(vmId: string): void {
    this.#drainedHere.delete(vmId);
  }

  /** Takes in what other nodes drain. */
  addReported(vmIds: readonly string[]): void {
    const leaving = new Set(this.#pool.leavingVms);
    for (const vmId of vmIds) {
      if (this.#returning.has(vmId)) continue;
      this.#returning.add(vmId);
      if (!leaving.has(vmId)) this.#pool.markLeaving(vmId, Infinity);
    }
    this.#prune();
  }

  #prune(): void {
    for (const vmId of this.#returning) {
      if (this.#returning.size <= MAX_TRACKED_VMS) return;
      this.#returning.delete(vmId);
    }
  }
}
