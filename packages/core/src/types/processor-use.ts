/** What an activity has used. */
interface ActivityUse {
  /** Processor time, in milliseconds. */
  readonly ms: number;
  readonly count: number;
}

/** Processor time of the process. */
export interface ProcessorUse {
  /** Milliseconds since its start, in user and kernel mode and on all threads. */
  readonly totalMs: number;
  /** The measured part of it, by activity; the rest belongs to none. */
  readonly byActivity: ReadonlyMap<string, ActivityUse>;
}
