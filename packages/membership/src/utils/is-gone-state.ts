import type { Member } from '../types/member.ts';

/** Tells whether an incarnation in this state never comes back. */
export function isGoneState(state: Member['state']): boolean {
  return state === 'left' || state === 'dead';
}
