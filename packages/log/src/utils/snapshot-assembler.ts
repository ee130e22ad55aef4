import type { Entry } from '../types/entry.ts';
import type { Snapshot } from '../types/snapshot.ts';
import type { SnapshotMark } from '../types/snapshot-mark.ts';
import { SnapshotPart } from '../types/snapshot-part.ts';
import { joinSnapshot } from './join-snapshot.ts';

const MAX_OPEN_SNAPSHOTS = 4;

interface OpenSnapshot {
  readonly mark: SnapshotMark;
  readonly parts: Map<number, SnapshotPart>; // eslint-disable-line ragwortrudder/read-only-data
}

interface CompleteSnapshot {
  readonly mark: SnapshotMark;
  readonly snapshot: Snapshot;
}

/** Collects the parts of snapshots as they appear in a stream; drops incomplete and corrupt ones. */
export class SnapshotAssembler {
  readonly #open = new Map<string, OpenSnapshot>();
  #corrupt = 0;

  /** Number of complete snapshots whose content did not match. */
  get corrupt(): number {
    return this.#corrupt;
  }

  /** True when the entry claims to be a part of a snapshot. */
  static isPart(entry: Entry): boolean {
    const { body } = entry;
    return (
      typeof body === 'object' && body !== null && 'kind' in body && body.kind === 'snapshot-part'
    );
  }

  /** Takes a part; returns the snapshot that it completes. */
  add(entry: Entry): CompleteSnapshot | undefined {
    const parsed = SnapshotPart.safeParse(entry.body);
    if (!parsed.success) return undefined;
    const part = parsed.data;
    const open = this.#openFor(part, entry);
    const [known] = open.parts.values();
    if (known && !isSameSnapshot(known, part)) return undefined;
    if (!open.parts.has(part.index)) open.parts.set(part.index, part);
    if (open.parts.size < part.count) return undefined;
    this.#open.delete(part.snapshot);
    return this.#join(open);
  }

  #openFor(part: SnapshotPart, { offset, time }: Entry): OpenSnapshot {
    const known = this.#open.get(part.snapshot);
    if (known) return known;
    const created = { mark: { next: part.next, offset, time }, parts: new Map() };
    this.#open.set(part.snapshot, created);
    const [oldest] = this.#open.keys();
    if (this.#open.size > MAX_OPEN_SNAPSHOTS && oldest !== undefined) this.#open.delete(oldest);
    return created;
  }

  #join({ mark, parts }: OpenSnapshot): CompleteSnapshot | undefined {
    const ordered = [...parts.values()].sort((a, b) => a.index - b.index);
    try {
      return { mark, snapshot: joinSnapshot(ordered) };
    } catch {
      this.#corrupt += 1;
      return undefined;
    }
  }
}

function isSameSnapshot(a: SnapshotPart, b: SnapshotPart): boolean {
  return a.count === b.count && a.next === b.next && a.hash === b.hash && b.index < b.count;
}
