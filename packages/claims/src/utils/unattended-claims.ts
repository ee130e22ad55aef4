import type { ClaimRecord } from '../types/claim-record.ts';
import type { ClaimState } from '../types/claim-state.ts';
import type { Owner } from '../types/owner.ts';
import { openClaims } from './open-claims.ts';
import { sameOwner } from './same-owner.ts';

interface Query {
  readonly self: Owner;
  /** True while a request of this incarnation pursues the key. */
  readonly isAttended: (tenant: string, key: string) => boolean;
}

/**
 * Attempts that this incarnation owns and no request pursues any more, for example after the reply
 * to the claim was lost. The owner forfeits each and appends the outcome `not-run`, so that other
 * nodes do not wait for it.
 */
export function unattendedClaims(state: ClaimState, query: Query): readonly ClaimRecord[] {
  return openClaims(state)
    .filter(({ owner }) => sameOwner(owner, query.self))
    .filter(({ tenant, key }) => !query.isAttended(tenant, key));
}
