import type { ExecutionState } from './execution-state.ts';
import type { Owner } from './owner.ts';

/** Execution of the request under one key, as recorded by its executor. */
export interface Execution {
  readonly tenant: string;
  readonly key: string;
  readonly state: ExecutionState;
  /** Digest of the request; present once a request was accepted under the key. */
  readonly requestDigest?: string;
  /** New executor, if the key was transferred. */
  readonly to?: Owner;
  /** True when the key was issued by another incarnation and transferred to this one. */
  readonly delegated: boolean;
  readonly result?: unknown;
  /** Monotonic time of the last change, in milliseconds. */
  readonly changedAtMs: number;
}
