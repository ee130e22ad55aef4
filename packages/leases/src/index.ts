export { LeaseEntry } from './types/lease-entry.ts';
export type { LeaseHolderOptions } from './types/lease-holder-options.ts';
export type { LeaseRecord } from './types/lease-record.ts';
export type { LeaseState } from './types/lease-state.ts';
export type { LeaseWrite } from './types/lease-write.ts';
