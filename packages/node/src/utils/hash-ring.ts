import { digest } from '@ragwortrudder/core';

/** Orders names on a ring by their hashes, so that neighbours are spread evenly and change little. */
export class HashRing {
  readonly #positions = new Map<string, string>();

  /** The first `count` of `items` that follow `from` on the ring. */
  successors<T>(
    from: string,
    items: readonly T[],
    { nameOf, count }: { readonly nameOf: (item: T) => string; readonly count: number },
  ): readonly T[] {
    if (items.length <= count) return items;
    const start = this.#positionOf(from);
    const placed = items.map((item) => ({ item, position: this.#positionOf(nameOf(item)) }));
    const ordered = placed.sort((a, b) => (a.position < b.position ? -1 : 1));
    const after = ordered.findIndex(({ position }) => position > start);
    const first = Math.max(0, after);
    const turned = [...ordered.slice(first), ...ordered.slice(0, first)];
    return turned.slice(0, count).map(({ item }) => item);
  }

  #positionOf(name: string): string {
    const known = this.#positions.get(name);
    if (known !== undefined) return known;
    const position = digest(name);
    this.#positions.set(name, position);
    return position;
  }
}
