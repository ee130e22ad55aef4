import type { StartVm } from './start-vm.ts';

/** State of one start request. */
export interface TrackedStart {
  readonly start: StartVm;
  /**
   * `unsent`: not sent yet; `unknown`: sent without a reply, will be resent; `started`: the
   * platform returned the VM id; `listed`: the VM appeared in the platform's list; `refused` and
   * `gone` are final.
   */
  readonly state: 'unsent' | 'unknown' | 'started' | 'listed' | 'refused' | 'gone';
  /** Present once the platform returned the VM id. */
  readonly vmId?: string;
  /** Monotonic time in milliseconds before which the request is not sent; once started, the time after which an unlisted VM counts as gone. */
  readonly notBefore: number;
  /** Number of times the request was sent. */
  readonly attempts: number;
}
