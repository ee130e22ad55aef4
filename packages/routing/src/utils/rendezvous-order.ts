import { rendezvousScore } from './rendezvous-score.ts';

interface ScoredItem<T> {
  readonly item: T;
  readonly id: string;
  readonly score: number;
}

/** Sorts `items` by their rendezvous score for `key`, highest first; ties are broken by id. */
export function rendezvousOrder<T>(
  key: string,
  items: readonly T[],
  idOf: (item: T) => string,
): readonly T[] {
  const scored = items.map((item): ScoredItem<T> => {
    const id = idOf(item);
    return { item, id, score: rendezvousScore(key, id) };
  });
  scored.sort((a, b) => b.score - a.score || (a.id < b.id ? -1 : 1));
  return scored.map(({ item }) => item);
}
