import type { PrefixHolder } from './prefix-holder.ts';

/** Looks up which runners are expected to have a prompt's prefix cached. */
export interface CacheLookup {
  /** Number of prompt tokens that `runnerId` is expected to reuse from its cache. */
  cachedTokens(runnerId: string, blocks: readonly string[]): number;
  /** Up to `limit` runners with the longest known prefixes, longest first. */
  holders(blocks: readonly string[], limit: number): readonly PrefixHolder[];
}
