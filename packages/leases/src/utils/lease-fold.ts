import type { Entry, Fold } from '@ragwortrudder/log';
import { LeaseEntry } from '../types/lease-entry.ts';
import type { LeaseState } from '../types/lease-state.ts';
import { leaseSnapshotter } from './lease-snapshotter.ts';
import { nextLeaseRecord } from './next-lease-record.ts';

function apply(state: LeaseState, entry: Entry): LeaseState {
  const { position } = entry;
  const timeMs = Math.max(state.logTimeMs, entry.time);
  const now = { ...state, logTimeMs: timeMs, position };
  const parsed = LeaseEntry.safeParse(entry.body);
  if (!parsed.success) return now;
  const { job } = parsed.data;
  const record = Object.hasOwn(state.jobs, job) ? state.jobs[job] : undefined;
  const next = nextLeaseRecord(parsed.data, { record, position, timeMs });
  return next ? { ...now, jobs: { ...state.jobs, [job]: next } } : now;
}

/** Deterministic fold of the stream `leases`: the same log prefix yields the same state on every node. */
export const leaseFold: Required<Fold<LeaseState>> = {
  initial: { logTimeMs: 0, position: -1, jobs: {} },
  snapshotter: leaseSnapshotter,
  apply,
};
