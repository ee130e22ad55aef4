/** Operator's order to move a service to another version. */
export interface RolloutOrder {
  readonly service: string;
  readonly targetVersion: string;
  /** Time within which the move must be completed or taken back, in milliseconds. */
  readonly durationMs: number;
}
