/** Request to start a VM. */
export interface VmRequest {
  /** Identifies the request; repeating a request with the same identifier does not start a second VM. */
  readonly requestId: string;
  readonly failureDomain: string;
  readonly machineClass: string;
  readonly reclaimable: boolean;
  readonly labels: Readonly<Record<string, string>>;
}
