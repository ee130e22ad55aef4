/** Return of a VM; it is drained first. */
export interface StopVm {
  readonly action: 'stop';
  readonly vmId: string;
}
