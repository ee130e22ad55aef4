import { gunzipSync } from 'node:zlib';
import { digest } from '@ragwortrudder/core';
import { SnapshotInvalid } from '../errors/snapshot-invalid.ts';
import type { Snapshot } from '../types/snapshot.ts';
import type { SnapshotPart } from '../types/snapshot-part.ts';

const MAX_SNAPSHOT_BYTES = 256 * 1024 * 1024;

/**
 * Reassembles a snapshot from all its parts in order; throws `SnapshotInvalid` when the digest does
 * not match.
 */
export function joinSnapshot(parts: readonly SnapshotPart[]): Snapshot {
  const last = parts.at(-1);
  if (!last) throw new SnapshotInvalid('the snapshot has no parts');
  const { next, hash } = last;
  const text = parts.map(({ data }) => data).join('');
  if (digest([next, hash, text]) !== last.digest) {
    throw new SnapshotInvalid('the snapshot does not match its digest');
  }
  const json = gunzipSync(Buffer.from(text, 'base64'), { maxOutputLength: MAX_SNAPSHOT_BYTES });
  return { next, hash, data: JSON.parse(json.toString('utf8')) as unknown };
}
