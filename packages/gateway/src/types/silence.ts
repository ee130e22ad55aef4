/** What is silent for so long that the response may never come. */
export type Silence =
  | 'none'
  /** The connection, while the runner sends on others. */
  | 'connection'
  /** The runner, on all connections; one that is sound may be silent for a second or so. */
  | 'runner'
  /** The runner, for longer than a sound one is. */
  | 'runner-for-long'
  /** The runner, and new connections to it cannot be opened. */
  | 'link';
