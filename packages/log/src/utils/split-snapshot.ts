import { gzipSync } from 'node:zlib';
import { digest } from '@ragwortrudder/core';
import type { Snapshot } from '../types/snapshot.ts';
import type { SnapshotPart } from '../types/snapshot-part.ts';

/** Options of {@link splitSnapshot}. */
interface SplitOptions {
  /** Identifier shared by all parts. */
  readonly id: string;
  /** Maximum size of the data of one part in bytes. */
  readonly partBytes: number;
}

/** Splits a snapshot into parts; the last part contains the digest of the complete snapshot. */
export function splitSnapshot(
  { next, hash, data }: Snapshot,
  { id, partBytes }: SplitOptions,
): readonly SnapshotPart[] {
  const text = gzipSync(JSON.stringify(data)).toString('base64');
  const count = Math.ceil(text.length / partBytes);
  return Array.from({ length: count }, (_, index) => ({
    kind: 'snapshot-part',
    snapshot: id,
    index,
    count,
    next,
    hash,
    data: text.slice(index * partBytes, (index + 1) * partBytes),
    ...(index === count - 1 ? { digest: digest([next, hash, text]) } : {}),
  }));
}
