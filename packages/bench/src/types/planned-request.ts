/** A request of a workload, planned before the run starts. */
export interface PlannedRequest {
  /** Arrival time in milliseconds after the start of the run. */
  readonly atMs: number;
  readonly tenant: string;
  readonly service: string;
  readonly body: Readonly<Record<string, unknown>>;
  readonly idempotencyKey?: string;
}
