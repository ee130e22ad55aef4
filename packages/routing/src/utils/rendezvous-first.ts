import { rendezvousScore } from './rendezvous-score.ts';

/** Returns the usable member with the highest rendezvous score for `key`; ties are broken by id. */
export function rendezvousFirst<T extends { readonly id: string }>(
  key: string,
  members: readonly T[],
  isUsable: (member: T) => boolean = () => true,
): T | undefined {
  let best: T | undefined;
  let bestScore = -1;
  for (const member of members) {
    const score = rendezvousScore(key, member.id);
    const isBetter = score > bestScore || (score === bestScore && member.id < (best?.id ?? ''));
    if (!isBetter || !isUsable(member)) continue;
    best = member;
    bestScore = score;
  }
  return best;
}
