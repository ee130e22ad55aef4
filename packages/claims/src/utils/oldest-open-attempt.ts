import type { ClaimState } from '../types/claim-state.ts';
import { openClaims } from './open-claims.ts';

/**
 * Oldest attempt that may still be sent by any node, or `position`, that of the last entry in the
 * state, when there is none; the position up to which an attempt ledger may forget.
 */
export function oldestOpenAttempt(state: ClaimState, position: number): number {
  return openClaims(state).reduce((oldest, { attempt }) => Math.min(oldest, attempt), position);
}
