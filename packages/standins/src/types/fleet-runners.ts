/** Group of equal runners of a fleet. */
export interface FleetRunners {
  readonly service: string;
  readonly version: string;
  readonly kind: 'model' | 'application';
  /** Number of runners, spread over the failure domains in turn. */
  readonly count: number;
  /** Further options of each runner, as of `EngineOptions` or `ApplicationOptions`. */
  readonly options?: Readonly<Record<string, unknown>> | undefined;
}
