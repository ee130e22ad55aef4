/** Planned runner of a fleet, before its process starts and assigns it an address. */
export interface PlannedRunner {
  readonly id: string;
  readonly process: string;
  readonly service: string;
  readonly version: string;
  readonly kind: 'model' | 'application';
  readonly failureDomain: string;
  /** Whether the runner waits for the cloud API to start a VM for it. */
  readonly spare: boolean;
  readonly options: Readonly<Record<string, unknown>>;
}
