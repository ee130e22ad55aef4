import type { ClaimRecord } from '../types/claim-record.ts';
import type { ClaimState } from '../types/claim-state.ts';
import type { Owner } from '../types/owner.ts';
import { openClaims } from './open-claims.ts';
import { sameOwner } from './same-owner.ts';

interface Query {
  readonly self: Owner;
  /** Returns whether a request of this incarnation is still processing the key. */
  readonly isAttended: (tenant: string, key: string) => boolean;
}

/**
 * Returns the open attempts that this incarnation owns but no request is processing, for example
 * after the reply to the claim was lost. The owner must forfeit each of them and append the outcome
 * `not-run`, so that other nodes do not wait for it.
 */
export function unattendedClaims(state: ClaimState, query: Query): readonly ClaimRecord[] {
  return openClaims(state)
    .filter(({ owner }) => sameOwner(owner, query.self))
    .filter(({ tenant, key }) => !query.isAttended(tenant, key));
}
