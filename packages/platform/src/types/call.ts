/** Request to the platform. */
export interface Call {
  readonly method: 'GET' | 'POST' | 'DELETE';
  /** Path without a leading slash. */
  readonly path: string;
  readonly query?: Readonly<Record<string, string | number>>;
  /** JSON content of a POST. */
  readonly body?: unknown;
  /**
   * How long the platform may hold its answer, in milliseconds.
   * @default 0
   */
  readonly waitMs?: number;
  /** Ends the request early. */
  readonly signal?: AbortSignal;
}
