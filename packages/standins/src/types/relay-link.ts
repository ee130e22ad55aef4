/** Link of a relay: a listening port and where its connections go. */
export interface RelayLink {
  readonly name: string;
  /**
   * Port, 0 for any free one.
   * @default 0
   */
  readonly listen?: number | undefined;
  /** Address `host:port`. */
  readonly target: string;
}
