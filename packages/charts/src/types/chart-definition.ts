/**
 * State chart as defined in this package's JSON files: flat states with one target state per event.
 */
export interface ChartDefinition {
  readonly id: string;
  readonly initial: string;
  readonly states: Readonly<Record<string, ChartState>>;
}

interface ChartState {
  readonly type?: string;
  readonly on?: Readonly<Record<string, string>>;
}
