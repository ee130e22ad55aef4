import type { PrefixHolder } from './prefix-holder.ts';

/** Answers which runners are believed to hold a prompt's prefix. */
export interface CacheLookup {
  /** Expected tokens that `runnerId` need not compute. */
  cachedTokens(runnerId: string, blocks: readonly string[]): number;
  /** Runners with the longest known prefixes, longest first, at most `limit`. */
  holders(blocks: readonly string[], limit: number): readonly PrefixHolder[];
}
