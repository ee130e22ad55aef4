import type { FaultTarget } from '../types/fault-target.ts';
import type { PlatformFault } from '../types/platform-fault.ts';

/** Active faults of the platform interfaces. */
export class FaultRegistry {
  readonly #faults = new Map<FaultTarget, PlatformFault>();

  set(fault: PlatformFault): void {
    this.#faults.set(fault.target, fault);
  }

  /** Returns the fault that applies to a call, and decrements its remaining count. */
  take(target: FaultTarget): PlatformFault {
    const fault = this.#faults.get(target);
    if (!fault) return { target, mode: 'ok' };
    if (fault.count === undefined) return fault;
    if (fault.count <= 0) return { target, mode: 'ok' };
    this.#faults.set(target, { ...fault, count: fault.count - 1 });
    return fault;
  }
}
