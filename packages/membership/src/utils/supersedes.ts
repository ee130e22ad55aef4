import type { Member } from '../types/member.ts';

const RANKS: Readonly<Record<Member['state'], number>> = { alive: 0, suspect: 0, left: 1, dead: 2 };

function precedence(member: Member): readonly number[] {
  const suspect = member.state === 'suspect' ? 1 : 0;
  return [member.incarnation, RANKS[member.state], member.refutation, suspect];
}

/**
 * Tells whether claim `a` about a node replaces claim `b` about the same node. A newer incarnation wins; within
 * one, `left` and `dead` are final, then the larger refutation wins, then the suspicion.
 */
export function supersedes(a: Member, b: Member): boolean {
  const other = precedence(b);
  for (const [index, value] of precedence(a).entries()) {
    const difference = value - (other[index] ?? 0);
    if (difference !== 0) return difference > 0;
  }
  return false;
}
