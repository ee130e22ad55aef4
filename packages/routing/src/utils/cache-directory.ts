import type { CacheLookup } from '../types/cache-lookup.ts';
import type { PrefixHolder } from '../types/prefix-holder.ts';
import type { CacheIndex } from './cache-index.ts';

/** Cache indexes of the runners in a node's subset. */
export class CacheDirectory implements CacheLookup {
  readonly #indexes = new Map<string, CacheIndex>();

  /** Adds or replaces the index of a runner. */
  set(runnerId: string, index: CacheIndex): void {
    this.#indexes.set(runnerId, index);
  }

  /** Removes the index of a runner. */
  delete(runnerId: string): void {
    this.#indexes.delete(runnerId);
  }

  cachedTokens(runnerId: string, blocks: readonly string[]): number {
    return this.#indexes.get(runnerId)?.cachedTokens(blocks) ?? 0;
  }

  holders(blocks: readonly string[], limit: number): readonly PrefixHolder[] {
    const found: PrefixHolder[] = [];
    for (const [runnerId, index] of this.#indexes) {
      const cachedTokens = index.cachedTokens(blocks);
      if (cachedTokens > 0) found.push({ runnerId, cachedTokens });
    }
    found.sort((a, b) => b.cachedTokens - a.cachedTokens);
    return found.slice(0, limit);
  }
}
