import type { AnswerHead } from './answer-head.ts';

/** Receives a successful answer as it arrives. */
export interface AnswerSink {
  begin(head: AnswerHead): void;
  /** Takes in bytes; the returned promise, if any, resolves once more may come. */
  push(bytes: Buffer): Promise<void> | undefined;
  /** The runner ended its answer as complete. */
  end(): void;
}
