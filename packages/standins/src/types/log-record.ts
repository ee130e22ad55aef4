/** Record of a log stream. */
export interface LogRecord {
  readonly offset: number;
  readonly id: string;
  /** Wall-clock time of the append in milliseconds. */
  readonly time: number;
  readonly body: unknown;
}
