/** A request that a proof sends. */
export interface CallerRequest {
  readonly tenant: string;
  readonly service: string;
  readonly body: Readonly<Record<string, unknown>>;
  readonly key?: string;
  /**
   * Names of the nodes to use.
   * @default all nodes
   */
  readonly nodes?: readonly string[];
  readonly patienceMs?: number;
}
