/** How one request of a scenario was answered. */
export interface ScenarioAnswer {
  readonly tenant: string;
  readonly service: string;
  readonly outcome: 'done' | 'failed';
  /** Node that sent the last event. */
  readonly node: string;
  /** Runners that made the answer, in order. */
  readonly runners: readonly string[];
  readonly tokens: number;
  readonly elapsedMs: number;
  readonly detail: string;
}
