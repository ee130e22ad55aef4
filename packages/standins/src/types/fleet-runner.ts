/** Runner of a fleet. */
export interface FleetRunner {
  readonly id: string;
  /** Empty for a spare runner, whose VM the cloud API names. */
  readonly vmId: string;
  /** Name of the process that hosts it. */
  readonly process: string;
  readonly service: string;
  readonly version: string;
  readonly kind: 'model' | 'application';
  readonly failureDomain: string;
  readonly address: string;
  /** Address of the control interface, which works also while the runner refuses connections. */
  readonly control: string;
}
