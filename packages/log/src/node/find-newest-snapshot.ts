import type { Log } from '../types/log.ts';
import type { Snapshot } from '../types/snapshot.ts';
import type { SnapshotLocation } from '../types/snapshot-location.ts';
import { entriesOf } from '../utils/entries-of.ts';
import { SnapshotAssembler } from '../utils/snapshot-assembler.ts';

interface SearchOptions {
  /** Oldest retained offset. */
  readonly from: number;
  /** Maximum number of records per read. */
  readonly pageRecords: number;
  readonly signal: AbortSignal;
}

interface FoundSnapshot {
  readonly location: SnapshotLocation;
  readonly snapshot: Snapshot;
}

/**
 * Searches the retained records for the newest complete snapshot from which reading the stream can
 * resume.
 */
export async function findNewestSnapshot(
  log: Log,
  { from, pageRecords, signal }: SearchOptions,
): Promise<FoundSnapshot | undefined> {
  const assembler = new SnapshotAssembler();
  let found: FoundSnapshot | undefined;
  let next = from;
  for (;;) {
    const page = await log.read({ from: next, limit: pageRecords, waitMs: 0, signal });
    for (const entry of page.records.flatMap(entriesOf)) {
      const complete = SnapshotAssembler.isPart(entry) ? assembler.add(entry) : undefined;
      if (!complete || complete.snapshot.next < page.first) continue;
      if (complete.snapshot.next >= (found?.snapshot.next ?? 0)) found = complete;
    }
    next += page.records.length;
    if (page.records.length === 0) return found;
  }
}
