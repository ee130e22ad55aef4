import type { ClaimState } from '../types/claim-state.ts';
import { openClaims } from './open-claims.ts';

/**
 * Returns the oldest attempt that any node may still send, or `position`, the position of the last
 * entry in the state, if there is none. Attempts below the result can be forgotten.
 */
export function oldestOpenAttempt(state: ClaimState, position: number): number {
  return openClaims(state).reduce((oldest, { attempt }) => Math.min(oldest, attempt), position);
}
