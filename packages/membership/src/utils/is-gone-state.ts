import type { Member } from '../types/member.ts';

/** Returns whether the state is final for an incarnation. */
export function isGoneState(state: Member['state']): boolean {
  return state === 'left' || state === 'dead';
}
