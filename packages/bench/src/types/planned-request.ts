/** A request of a workload, planned before the run starts. */
export interface PlannedRequest {
  /** Time of arrival after the start of the run in milliseconds. */
  readonly atMs: number;
  readonly tenant: string;
  readonly service: string;
  readonly body: Readonly<Record<string, unknown>>;
  readonly idempotencyKey?: string;
}
