import { createHash } from 'node:crypto';
import type { Member } from '../types/member.ts';

const BUCKETS = 16;
const HASH_CHARACTERS = 8;

/** Bucket of a node in {@link BucketHashes}. */
function bucketOf(nodeId: string): number {
  let sum = 0;
  for (let index = 0; index < nodeId.length; index += 1) {
    sum = (sum * 31 + nodeId.charCodeAt(index)) % 65_521;
  }
  return sum % BUCKETS;
}

function line(member: Member): string {
  return `${member.nodeId} ${member.incarnation} ${member.refutation} ${member.state}\n`;
}

/** Hashes of a set of members by bucket: two nodes that hold the same members have the same hashes. */
export class BucketHashes {
  readonly values: readonly string[];

  constructor(members: readonly Member[]) {
    const lines = Array.from({ length: BUCKETS }, (): string[] => []);
    for (const member of members) lines[bucketOf(member.nodeId)]?.push(line(member));
    this.values = lines.map((bucket) =>
      createHash('sha256').update(bucket.sort().join('')).digest('hex').slice(0, HASH_CHARACTERS),
    );
  }

  /** Tells whether the bucket of `nodeId` has another hash in `other`. */
  differsFor(nodeId: string, other: readonly string[]): boolean {
    const bucket = bucketOf(nodeId);
    return this.values[bucket] !== other[bucket];
  }

  /** Tells whether any bucket differs. */
  differs(other: readonly string[]): boolean {
    return this.values.some((value, bucket) => value !== other[bucket]);
  }
}
