import type { RunnerLoad } from './runner-load.ts';

/** Status and headers of a runner's answer. */
export interface AnswerHead {
  readonly status: number;
  /** Names and values of the headers that are passed on, in turn. */
  readonly headers: readonly string[];
  readonly requestId: string | undefined;
  /** Present on answers that a runner made for a request. */
  readonly signature: string | undefined;
  /** The runner states that it did not run the request. */
  readonly isNotExecuted: boolean;
  readonly load: RunnerLoad | undefined;
}
