/** Options of a platform client. */
export interface PlatformClientOptions {
  /** URL of the platform's service, for example `http://10.0.0.2:7000`. */
  readonly baseUrl: string;
  /**
   * Time-out of one exchange in milliseconds, in addition to the wait of a long poll.
   * @default 5000
   */
  readonly timeoutMs?: number;
  /**
   * Maximum number of open connections.
   * @default 8
   */
  readonly maxSockets?: number;
}
