import type { Clock } from '@ragwortrudder/core';

/** Options of the writer of one process. */
export interface HistoryWriterOptions {
  /** File that the events are appended to, one JSON document a line. */
  readonly path: string;
  /** Name of the recording process, unique in the run. */
  readonly process: string;
  readonly clock: Clock;
}
