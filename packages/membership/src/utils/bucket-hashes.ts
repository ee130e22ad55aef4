import { createHash } from 'node:crypto';
import type { Member } from '../types/member.ts';

const BUCKETS = 16;
const HASH_CHARACTERS = 8;

/** Returns the index of the bucket in {@link BucketHashes} that holds a node. */
function bucketOf(nodeId: string): number {
  let hash = 0;
  for (let index = 0; index < nodeId.length; index += 1) {
    hash = (hash * 31 + nodeId.charCodeAt(index)) % 65_521;
  }
  return hash % BUCKETS;
}

function memberLine(member: Member): string {
  return `${member.nodeId} ${member.incarnation} ${member.refutation} ${member.state}\n`;
}

/** Per-bucket hashes of a member list: two nodes with equal lists have equal hashes. */
export class BucketHashes {
  readonly values: readonly string[];

  constructor(members: readonly Member[]) {
    const lines = Array.from({ length: BUCKETS }, (): string[] => []);
    for (const member of members) lines[bucketOf(member.nodeId)]?.push(memberLine(member));
    this.values = lines.map((bucket) =>
      createHash('sha256').update(bucket.sort().join('')).digest('hex').slice(0, HASH_CHARACTERS),
    );
  }

  /** Returns whether the bucket that holds `nodeId` has a different hash in `other`. */
  differsFor(nodeId: string, other: readonly string[]): boolean {
    const bucket = bucketOf(nodeId);
    return this.values[bucket] !== other[bucket];
  }

  /** Returns whether any bucket differs from `other`. */
  differs(other: readonly string[]): boolean {
    return this.values.some((value, bucket) => value !== other[bucket]);
  }
}
