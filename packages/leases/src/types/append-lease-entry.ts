import type { LeaseEntry } from './lease-entry.ts';

/** Appends an entry to the stream `leases` and resolves with its position. */
export type AppendLeaseEntry = (entry: LeaseEntry) => Promise<number>;
