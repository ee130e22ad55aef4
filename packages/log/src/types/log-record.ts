/** One record of a stream. */
export interface LogRecord {
  /** Index of the record in its stream, starting at 0 and without gaps. */
  readonly offset: number;
  /** Identifier chosen by the writer; a retried append reuses it. */
  readonly id: string;
  /** Time at which the log accepted the record, in milliseconds since the Unix epoch. */
  readonly time: number;
  readonly body: unknown;
}
