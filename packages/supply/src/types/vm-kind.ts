/** Attributes by which the platform prices and refuses VMs; VMs of one kind are interchangeable. */
export interface VmKind {
  readonly failureDomain: string;
  readonly machineClass: string;
  readonly reclaimable: boolean;
}
