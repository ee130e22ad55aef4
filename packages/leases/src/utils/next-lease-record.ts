import type { LeaseEntry } from '../types/lease-entry.ts';
import type { LeaseRecord } from '../types/lease-record.ts';

/** Maximum number of retained fencing tokens of earlier leases. */
const MAX_EARLIER_FENCES = 4;

interface Context {
  readonly record: LeaseRecord | undefined;
  /** Position of the entry. */
  readonly position: number;
  /** Log time of the entry, in milliseconds since the epoch. */
  readonly timeMs: number;
}

function isFree(record: LeaseRecord | undefined, timeMs: number): boolean {
  return !record || record.released || record.endsAtMs <= timeMs;
}

function earlierFences(record: LeaseRecord | undefined): readonly number[] {
  return record ? [record.fence, ...record.earlierFences].slice(0, MAX_EARLIER_FENCES) : [];
}

/**
 * Returns the lease after an entry, or undefined if the entry has no effect. An `acquire` is
 * effective if the job is free; `renew` and `release` are effective if they come from the holder
 * with its fencing token before the end of the lease in log time.
 */
export function nextLeaseRecord(entry: LeaseEntry, context: Context): LeaseRecord | undefined {
  const { record, position, timeMs } = context;
  if (entry.type === 'acquire') {
    if (!isFree(record, timeMs)) return undefined;
    const endsAtMs = timeMs + entry.durationMs;
    return {
      holder: entry.holder,
      fence: position,
      grantedBy: position,
      endsAtMs,
      released: false,
      earlierFences: earlierFences(record),
    };
  }
  if (!record || isFree(record, timeMs)) return undefined;
  if (record.holder !== entry.holder || record.fence !== entry.fence) return undefined;
  if (entry.type === 'release') return { ...record, released: true };
  return { ...record, grantedBy: position, endsAtMs: timeMs + entry.durationMs };
}
