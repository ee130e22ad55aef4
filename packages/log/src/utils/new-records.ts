import { PrefixFork } from '../errors/prefix-fork.ts';
import { PrefixGap } from '../errors/prefix-gap.ts';
import { PrefixOlder } from '../errors/prefix-older.ts';
import type { HashedRecord } from '../types/hashed-record.ts';
import type { Prefix } from '../types/prefix.ts';
import { chainHash } from './chain-hash.ts';

interface Point {
  readonly next: number;
  readonly hash: string;
}

function checkChain(prefix: Prefix): void {
  let { next, hash } = prefix.base;
  for (const { record, hash: claimed } of prefix.records) {
    if (record.offset !== next) throw new PrefixGap(next, record.offset);
    hash = chainHash(hash, record);
    if (hash !== claimed) throw new PrefixFork(record.offset);
    next = record.offset + 1;
  }
}

function hashBefore(prefix: Prefix, offset: number): string | undefined {
  if (offset === prefix.base.next) return prefix.base.hash;
  return prefix.records[offset - prefix.base.next - 1]?.hash;
}

/**
 * Returns the records of `prefix` that continue the stream at `own`.
 * Throws when the prefix skips an offset, does not chain to `own`, or ends before it.
 */
export function newRecords(own: Point, prefix: Prefix): readonly HashedRecord[] {
  checkChain(prefix);
  const end = prefix.base.next + prefix.records.length;
  if (prefix.base.next > own.next) throw new PrefixGap(own.next, prefix.base.next);
  if (end < own.next) throw new PrefixOlder(own.next, end);
  if (hashBefore(prefix, own.next) !== own.hash) throw new PrefixFork(own.next);
  return prefix.records.slice(own.next - prefix.base.next);
}
