/** State chart as written in the JSON files of this package: flat states with one target for each event. */
export interface ChartDefinition {
  readonly id: string;
  readonly initial: string;
  readonly states: Readonly<Record<string, ChartState>>;
}

interface ChartState {
  readonly type?: string;
  readonly on?: Readonly<Record<string, string>>;
}
