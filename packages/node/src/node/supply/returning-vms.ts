import { inject, injectable } from 'inversify';
import { RunnerPool } from '../runners/runner-pool.ts';

const MAX_TRACKED_VMS = 4096;

/** VMs that are drained before they are returned: no node sends their runners new requests. */
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

  /** True if this node or another one drains the VM. */
  has(vmId: string): boolean {
    return this.#returning.has(vmId);
  }

  /** Starts to drain a VM; requests on its runner may finish without a time limit. */
  drain(vmId: string): void {
    this.#drainedHere.add(vmId);
    this.addReported([vmId]);
  }

  /** Ends the drain of a VM that no longer exists. */
  forget(vmId: string): void {
    this.#drainedHere.delete(vmId);
  }

  /** Adds VMs that other nodes report as draining. */
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
