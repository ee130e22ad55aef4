/** Reclaim notice: announces that the platform will reclaim a VM. */
export interface ReclaimNotice {
  readonly seq: number;
  readonly vmId: string;
  /** Wall-clock time in milliseconds at which the VM is stopped. */
  readonly deadline: number;
}
