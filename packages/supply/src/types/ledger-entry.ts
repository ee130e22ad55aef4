import type { StartVm } from './start-vm.ts';

/** Life of one start request. */
export interface LedgerEntry {
  readonly start: StartVm;
  /**
   * `unsent`: to be sent; `unknown`: sent without an answer, to be sent again; `started`: the
   * platform named the VM; `listed`: the VM was in the platform's list; `refused` and `gone` are
   * final.
   */
  readonly state: 'unsent' | 'unknown' | 'started' | 'listed' | 'refused' | 'gone';
  /** Present once the platform named the VM. */
  readonly vmId?: string;
  /** Monotonic time in milliseconds before which nothing is sent. */
  readonly notBefore: number;
  /** Number of times that the request was sent. */
  readonly attempts: number;
}
