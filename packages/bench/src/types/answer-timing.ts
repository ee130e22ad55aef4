import type { PlannedRequest } from './planned-request.ts';

/**
 * Outcome and timing of one planned request; times are in milliseconds from its planned arrival.
 */
export interface AnswerTiming {
  readonly request: PlannedRequest;
  readonly outcome: 'done' | 'refused' | 'failed';
  /**
   * Problem code, or else the error text, of a request that was refused or failed; empty otherwise.
   */
  readonly code: string;
  /** True when the refusal included a retry-after time. */
  readonly hasRetryAfter: boolean;
  /** Time to the first token or to the result. */
  readonly firstMs: number;
  /** Times between consecutive tokens. */
  readonly gapsMs: readonly number[];
  readonly elapsedMs: number;
  readonly tokens: number;
  /** Application runner that produced the result. */
  readonly runner?: string;
}
