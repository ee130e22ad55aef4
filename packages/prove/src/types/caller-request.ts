/** A request that a proof sends. */
export interface CallerRequest {
  readonly tenant: string;
  readonly service: string;
  readonly body: Readonly<Record<string, unknown>>;
  readonly key?: string;
  /** Nodes to use, by name. @default all */
  readonly nodes?: readonly string[];
  readonly patienceMs?: number;
}
