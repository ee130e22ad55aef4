/** Link of a relay: a listening port and the address to which its connections are forwarded. */
export interface RelayLink {
  readonly name: string;
  /**
   * Port to listen on; 0 selects any free port.
   * @default 0
   */
  readonly listen?: number | undefined;
  /** Address `host:port`. */
  readonly target: string;
}
