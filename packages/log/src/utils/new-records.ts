import { PrefixFork } from '../errors/prefix-fork.ts';
import { PrefixGap } from '../errors/prefix-gap.ts';
import { PrefixOlder } from '../errors/prefix-older.ts';
import type { HashedRecord } from '../types/hashed-record.ts';
import type { Prefix } from '../types/prefix.ts';
import { chainHash } from './chain-hash.ts';

interface ChainPoint {
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
 * Returns the records of `prefix` that continue the stream from `current`.
 * Throws when the prefix skips an offset, does not chain to `current`, or ends before it.
 */
export function newRecords(current: ChainPoint, prefix: Prefix): readonly HashedRecord[] {
  checkChain(prefix);
  const end = prefix.base.next + prefix.records.length;
  if (prefix.base.next > current.next) throw new PrefixGap(current.next, prefix.base.next);
  if (end < current.next) throw new PrefixOlder(current.next, end);
  if (hashBefore(prefix, current.next) !== current.hash) throw new PrefixFork(current.next);
  return prefix.records.slice(current.next - prefix.base.next);
}
