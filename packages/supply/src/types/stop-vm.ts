/** Request to return a VM to the platform; the VM is drained first. */
export interface StopVm {
  readonly action: 'stop';
  readonly vmId: string;
}
