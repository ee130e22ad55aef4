import type { StartVm } from './start-vm.ts';

/** Life of one start request. */
export interface LedgerEntry {
  readonly start: StartVm;
  readonly state: 'unsent' | 'unknown' | 'started' | 'refused' | 'stopping' | 'stopped';
  /** Present once the platform told it. */
  readonly vmId?: string;
}
