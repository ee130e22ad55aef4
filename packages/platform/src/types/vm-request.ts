/** Request to start a VM. */
export interface VmRequest {
  /** Identifies the request; a repeated request with the same identifier starts no second VM. */
  readonly requestId: string;
  readonly failureDomain: string;
  readonly machineClass: string;
  readonly reclaimable: boolean;
  readonly labels: Readonly<Record<string, string>>;
}
