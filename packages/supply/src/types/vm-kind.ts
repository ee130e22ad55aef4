/** What makes VMs interchangeable for pricing and refusals. */
export interface VmKind {
  readonly failureDomain: string;
  readonly machineClass: string;
  readonly reclaimable: boolean;
}
