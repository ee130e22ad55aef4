/** Outcome of one request of a scenario. */
export interface ScenarioAnswer {
  readonly tenant: string;
  readonly service: string;
  readonly outcome: 'done' | 'failed';
  /** Node that sent the last event. */
  readonly node: string;
  /** Runners that contributed to the answer, in order. */
  readonly runners: readonly string[];
  readonly tokens: number;
  readonly elapsedMs: number;
  readonly detail: string;
}
