import type { Violation } from '@ragwortrudder/history';

/** Result of one run of a proof. */
export interface ProofResult {
  readonly promise: number;
  readonly name: string;
  readonly seed: number;
  /** Number of requests sent. */
  readonly operations: number;
  /** Number of faults injected. */
  readonly faults: number;
  /** Number of requests by final outcome. */
  readonly words: Readonly<Record<string, number>>;
  readonly violations: readonly Violation[];
}
