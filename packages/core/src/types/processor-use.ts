/** Processor time of the process, in milliseconds. */
export interface ProcessorUse {
  /** All that the process has used since its start, in user and kernel mode and on all threads. */
  readonly totalMs: number;
  /** The measured part of it, by activity; the rest belongs to none. */
  readonly byActivity: ReadonlyMap<string, number>;
}
