/** Group of equal runners of a fleet. */
export interface FleetRunners {
  readonly service: string;
  readonly version: string;
  readonly kind: 'model' | 'application';
  /** Number of runners, spread over the failure domains in turn. */
  readonly count: number;
  /**
   * True keeps the runners back until the cloud API starts a VM for each.
   * @default false
   */
  readonly spare?: boolean | undefined;
  /** Further options of each runner, as of `EngineOptions` or `ApplicationOptions`. */
  readonly options?: Readonly<Record<string, unknown>> | undefined;
}
