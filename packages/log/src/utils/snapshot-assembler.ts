import type { Entry } from '../types/entry.ts';
import type { Snapshot } from '../types/snapshot.ts';
import type { SnapshotLocation } from '../types/snapshot-location.ts';
import { SnapshotPart } from '../types/snapshot-part.ts';
import { joinSnapshot } from './join-snapshot.ts';

const MAX_INCOMPLETE_SNAPSHOTS = 4;

interface IncompleteSnapshot {
  readonly location: SnapshotLocation;
  readonly parts: Map<number, SnapshotPart>; // eslint-disable-line ragwortrudder/read-only-data
}

interface CompleteSnapshot {
  readonly location: SnapshotLocation;
  readonly snapshot: Snapshot;
}

/**
 * Collects snapshot parts as they appear in a stream; discards incomplete and corrupt snapshots.
 */
export class SnapshotAssembler {
  readonly #incomplete = new Map<string, IncompleteSnapshot>();
  #corrupt = 0;

  /**
   * Number of complete snapshots that could not be reassembled, for example because of a digest
   * mismatch.
   */
  get corrupt(): number {
    return this.#corrupt;
  }

  /** True when the entry's body is marked as a snapshot part; does not validate it. */
  static isPart(entry: Entry): boolean {
    const { body } = entry;
    return (
      typeof body === 'object' && body !== null && 'kind' in body && body.kind === 'snapshot-part'
    );
  }

  /** Adds a part; returns the snapshot if this part completes it. */
  add(entry: Entry): CompleteSnapshot | undefined {
    const parsed = SnapshotPart.safeParse(entry.body);
    if (!parsed.success) return undefined;
    const part = parsed.data;
    const incomplete = this.#getOrCreate(part, entry);
    const [existing] = incomplete.parts.values();
    if (existing && !isSameSnapshot(existing, part)) return undefined;
    if (!incomplete.parts.has(part.index)) incomplete.parts.set(part.index, part);
    if (incomplete.parts.size < part.count) return undefined;
    this.#incomplete.delete(part.snapshot);
    return this.#join(incomplete);
  }

  #getOrCreate(part: SnapshotPart, { offset, time }: Entry): IncompleteSnapshot {
    const existing = this.#incomplete.get(part.snapshot);
    if (existing) return existing;
    const created = { location: { next: part.next, offset, time }, parts: new Map() };
    this.#incomplete.set(part.snapshot, created);
    const [oldest] = this.#incomplete.keys();
    if (this.#incomplete.size > MAX_INCOMPLETE_SNAPSHOTS && oldest !== undefined)
      this.#incomplete.delete(oldest);
    return created;
  }

  #join({ location, parts }: IncompleteSnapshot): CompleteSnapshot | undefined {
    const ordered = [...parts.values()].sort((a, b) => a.index - b.index);
    try {
      return { location, snapshot: joinSnapshot(ordered) };
    } catch {
      this.#corrupt += 1;
      return undefined;
    }
  }
}

function isSameSnapshot(a: SnapshotPart, b: SnapshotPart): boolean {
  return a.count === b.count && a.next === b.next && a.hash === b.hash && b.index < b.count;
}
