import { digest } from '@ragwortrudder/core';

/**
 * Consistent-hash ring: orders names by their hashes, so that successors are spread evenly and few
 * of them change when a name is added or removed.
 */
export class HashRing {
  readonly #positions = new Map<string, string>();

  /** Returns the first `count` of `items` that follow `from` on the ring. */
  successors<T>(
    from: string,
    items: readonly T[],
    { nameOf, count }: { readonly nameOf: (item: T) => string; readonly count: number },
  ): readonly T[] {
    if (items.length <= count) return items;
    const start = this.#positionOf(from);
    const positioned = items.map((item) => ({ item, position: this.#positionOf(nameOf(item)) }));
    const ordered = positioned.sort((a, b) => (a.position < b.position ? -1 : 1));
    const nextIndex = ordered.findIndex(({ position }) => position > start);
    const startIndex = Math.max(0, nextIndex);
    const rotated = [...ordered.slice(startIndex), ...ordered.slice(0, startIndex)];
    return rotated.slice(0, count).map(({ item }) => item);
  }

  #positionOf(name: string): string {
    const cached = this.#positions.get(name);
    if (cached !== undefined) return cached;
    const position = digest(name);
    this.#positions.set(name, position);
    return position;
  }
}
