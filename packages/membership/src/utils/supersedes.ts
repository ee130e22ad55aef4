import type { Member } from '../types/member.ts';

const STATE_RANKS: Readonly<Record<Member['state'], number>> = {
  alive: 0,
  suspect: 0,
  left: 1,
  dead: 2,
};

function precedence(member: Member): readonly number[] {
  const suspect = member.state === 'suspect' ? 1 : 0;
  return [member.incarnation, STATE_RANKS[member.state], member.refutation, suspect];
}

/**
 * Returns whether update `a` about a node supersedes update `b` about the same node. A newer incarnation wins.
 * Within one incarnation, `left` and `dead` are final (`dead` over `left`); otherwise the larger refutation
 * counter wins, and at equal counters `suspect` overrides `alive`.
 */
export function supersedes(a: Member, b: Member): boolean {
  const other = precedence(b);
  for (const [index, value] of precedence(a).entries()) {
    const difference = value - (other[index] ?? 0);
    if (difference !== 0) return difference > 0;
  }
  return false;
}
