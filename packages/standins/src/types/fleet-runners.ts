/** Group of identical runners of a fleet. */
export interface FleetRunners {
  readonly service: string;
  readonly version: string;
  readonly kind: 'model' | 'application';
  /** Number of runners, distributed round-robin over the failure domains. */
  readonly count: number;
  /**
   * Whether the runners are spares that serve only once the cloud API has started a VM for them.
   * @default false
   */
  readonly spare?: boolean | undefined;
  /** Further options of each runner; see `EngineOptions` and `ApplicationOptions`. */
  readonly options?: Readonly<Record<string, unknown>> | undefined;
}
