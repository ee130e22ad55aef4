import type { AnswerHead } from './answer-head.ts';

/** Fully buffered response of a runner. */
export interface RunnerResponse {
  readonly head: AnswerHead;
  readonly body: Uint8Array;
}
