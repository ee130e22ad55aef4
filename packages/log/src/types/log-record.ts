/** One record of a stream. */
export interface LogRecord {
  /** Place of the record in its stream, counted from 0 without gaps. */
  readonly offset: number;
  /** Identifier chosen by the writer; a retried append carries the same one. */
  readonly id: string;
  /** Time in milliseconds since the Unix epoch at which the log took the record. */
  readonly time: number;
  readonly body: unknown;
}
