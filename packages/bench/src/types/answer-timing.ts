import type { PlannedRequest } from './planned-request.ts';

/** How one planned request was answered; times in milliseconds count from its planned arrival. */
export interface AnswerTiming {
  readonly request: PlannedRequest;
  readonly outcome: 'done' | 'refused' | 'failed';
  /** Problem code of a request that was not answered. */
  readonly code: string;
  /** True when the refusal told when to come back. */
  readonly hasRetryAfter: boolean;
  /** Time to the first token or result. */
  readonly firstMs: number;
  /** Times between tokens. */
  readonly gapsMs: readonly number[];
  readonly elapsedMs: number;
  readonly tokens: number;
  /** Application runner that answered. */
  readonly runner?: string;
}
