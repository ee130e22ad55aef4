import type { LeaseEntry } from './lease-entry.ts';

/** Appends one entry to the stream `leases` and resolves with its position. */
export type LeaseWrite = (entry: LeaseEntry) => Promise<number>;
