/** Options of one soak run. */
export interface SoakOptions {
  readonly seed: number;
  /** Duration of the traffic, in milliseconds. */
  readonly lengthMs: number;
  readonly nodes: number;
  readonly callers: number;
  /** Folder for the nodes' settings and logs. */
  readonly folder: string;
}
