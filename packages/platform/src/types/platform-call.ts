/** One HTTP request to the platform. */
export interface PlatformCall {
  readonly method: 'GET' | 'POST' | 'DELETE';
  /** Path without a leading slash. */
  readonly path: string;
  readonly query?: Readonly<Record<string, string | number>>;
  /** Body of a POST, sent as JSON. */
  readonly body?: unknown;
  /**
   * Time in milliseconds for which the platform may hold back its answer (long poll).
   * @default 0
   */
  readonly waitMs?: number;
  /** Aborts the request. */
  readonly signal?: AbortSignal;
}
