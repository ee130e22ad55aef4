/** Runner of a fleet. */
export interface FleetRunner {
  readonly id: string;
  /** Empty for a spare runner, whose VM id is assigned by the cloud API. */
  readonly vmId: string;
  /** Name of the process that hosts the runner. */
  readonly process: string;
  readonly service: string;
  readonly version: string;
  readonly kind: 'model' | 'application';
  readonly failureDomain: string;
  readonly address: string;
  /** URL of the control interface, which stays reachable while the runner refuses connections. */
  readonly control: string;
}
