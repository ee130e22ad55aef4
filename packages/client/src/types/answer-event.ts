/** One event of an answer, as the caller receives it. */
export interface AnswerEvent {
  /** Position in the answer, `<epoch>-<number>`; empty for events without a number. */
  readonly id: string;
  readonly type: 'accepted' | 'token' | 'result' | 'done' | 'failed';
  readonly data: Readonly<Record<string, unknown>>;
  /** Node that sent the event, `host:port`. */
  readonly node: string;
}
