/** Why a node ends the connection of a caller, and the last bytes that it sends on it. */
export interface ConnectionEnd {
  readonly cause: string;
  /** Response to a request that was not read completely. */
  readonly response?: string;
}
