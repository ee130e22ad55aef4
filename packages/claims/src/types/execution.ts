import type { ExecutionState } from './execution-state.ts';
import type { Owner } from './owner.ts';

/** Entry of the table of one executor. */
export interface Execution {
  readonly tenant: string;
  readonly key: string;
  readonly state: ExecutionState;
  /** Digest of the request, once one was accepted under the key. */
  readonly requestDigest?: string;
  /** New executor, when the key was given away. */
  readonly to?: Owner;
  /** True when the key was issued by another incarnation and transferred to this one. */
  readonly delegated: boolean;
  readonly result?: unknown;
  /** Monotonic time of the last change, in milliseconds. */
  readonly changedAtMs: number;
}
