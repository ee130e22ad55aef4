/** A request as observed by a runner when it starts to execute it. */
export interface ObservedRun {
  readonly id: string;
  readonly runner: string;
  readonly team: string | undefined;
  /** Undefined if the runner answered before it had received the body. */
  readonly body: string | undefined;
  /** Last event already received, after which the stream resumes; 0 for a run from the start. */
  readonly after: number;
  readonly at: number;
}
