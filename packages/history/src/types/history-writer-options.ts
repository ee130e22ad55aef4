import type { Clock } from '@ragwortrudder/core';

/** Options of a history writer; each recording process has its own writer. */
export interface HistoryWriterOptions {
  /** File to which events are appended as JSON lines. */
  readonly path: string;
  /** Name of the recording process, unique within the run. */
  readonly process: string;
  readonly clock: Clock;
}
