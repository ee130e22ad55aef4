import type { Violation } from '@ragwortrudder/history';

/** Result of one run of a proof. */
export interface ProofResult {
  readonly promise: number;
  readonly name: string;
  readonly seed: number;
  /** Requests sent. */
  readonly operations: number;
  /** Faults brought about. */
  readonly faults: number;
  /** Final words received, by kind. */
  readonly words: Readonly<Record<string, number>>;
  readonly violations: readonly Violation[];
}
