/** Options of a client of the platform. */
export interface ClientOptions {
  /** URL of the platform's service, for example `http://10.0.0.2:7000`. */
  readonly baseUrl: string;
  /**
   * Longest time for one exchange in milliseconds, on top of a long poll's wait.
   * @default 5000
   */
  readonly timeoutMs?: number;
  /**
   * Largest number of open connections.
   * @default 8
   */
  readonly maxSockets?: number;
}
