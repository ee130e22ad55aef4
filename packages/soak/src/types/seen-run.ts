/** Request as a runner began to run it. */
export interface SeenRun {
  readonly id: string;
  readonly runner: string;
  readonly team: string | undefined;
  readonly body: string;
  /** Last event that the request asks to go on from; 0 for a run from the start. */
  readonly after: number;
  readonly at: number;
}
