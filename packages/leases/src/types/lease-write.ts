import type { LeaseEntry } from './lease-entry.ts';

/** Appends an entry to the stream `leases` and resolves with its position. */
export type LeaseWrite = (entry: LeaseEntry) => Promise<number>;
