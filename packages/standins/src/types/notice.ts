/** Notice of the platform that it takes a VM back. */
export interface Notice {
  readonly seq: number;
  readonly vmId: string;
  /** Wall-clock time in milliseconds at which the VM is stopped. */
  readonly deadline: number;
}
