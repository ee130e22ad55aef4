export { LeaseEntry } from './types/lease-entry.ts';
export type { LeaseHolderOptions } from './types/lease-holder-options.ts';
export { LeaseRecord } from './types/lease-record.ts';
export { LeaseState } from './types/lease-state.ts';
export type { AppendLeaseEntry } from './types/append-lease-entry.ts';
export { leaseFold } from './utils/lease-fold.ts';
export { LeaseHolder } from './utils/lease-holder.ts';
