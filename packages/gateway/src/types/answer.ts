import type { AnswerHead } from './answer-head.ts';

/** Whole answer of a runner. */
export interface Answer {
  readonly head: AnswerHead;
  readonly body: Uint8Array;
}
