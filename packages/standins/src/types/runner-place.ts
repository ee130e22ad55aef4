/** Runner of a fleet before it has an address. */
export interface RunnerPlace {
  readonly id: string;
  readonly process: string;
  readonly service: string;
  readonly version: string;
  readonly kind: 'model' | 'application';
  readonly failureDomain: string;
  /** True when the runner waits for the cloud API to start a VM for it. */
  readonly spare: boolean;
  readonly options: Readonly<Record<string, unknown>>;
}
