import type { ClaimDecision } from '../types/claim-decision.ts';
import type { ClaimQuery } from '../types/claim-query.ts';
import type { ClaimRecord } from '../types/claim-record.ts';
import type { ClaimState } from '../types/claim-state.ts';
import { findClaim } from './find-claim.ts';
import { sameOwner } from './same-owner.ts';

function logUnavailable(query: ClaimQuery): ClaimDecision {
  const { retryAfterMs } = query;
  return { kind: 'refuse', reason: 'log-unavailable', notRun: true, retryAfterMs };
}

function decideClaimed(record: ClaimRecord, query: ClaimQuery): ClaimDecision {
  const { attempt, owner } = record;
  const isOwn = sameOwner(owner, query.self);
  if (isOwn && query.isStarted(attempt)) {
    return {
      kind: 'refuse',
      reason: 'not-run',
      notRun: true,
      retryAfterMs: query.retryAfterMs,
    };
  }
  if (!isOwn && !query.isGone(owner)) return { kind: 'wait', owner };
  if (!query.logAvailable) return logUnavailable(query);
  if (isOwn) return { kind: 'run', step: 'sending', attempt };
  return { kind: 'run', step: 'takeover', attempt, from: owner };
}

function decideSending(record: ClaimRecord, query: ClaimQuery): ClaimDecision {
  const { attempt, owner } = record;
  if (!sameOwner(owner, query.self)) {
    return query.isGone(owner) ? { kind: 'unknown', owner } : { kind: 'wait', owner };
  }
  if (query.isStarted(attempt)) return { kind: 'wait', owner };
  return { kind: 'run', step: 'send', attempt };
}

function decideNotRun(record: ClaimRecord, query: ClaimQuery): ClaimDecision {
  if (query.attempt === record.attempt) {
    return {
      kind: 'refuse',
      reason: 'not-run',
      notRun: true,
      retryAfterMs: query.retryAfterMs,
    };
  }
  return query.logAvailable ? { kind: 'run', step: 'claim' } : logUnavailable(query);
}

/**
 * Decides the next step for a non-idempotent request with a caller-generated key. A node may send
 * the request only on `run` with step `send`, which is returned only after its own `sending` entry
 * was read back as the effective one and while no other request of this incarnation has begun the
 * attempt.
 */
export function decideClaim(state: ClaimState, query: ClaimQuery): ClaimDecision {
  const record = findClaim(state, query.tenant, query.key);
  if (!record) {
    return query.logAvailable ? { kind: 'run', step: 'claim' } : logUnavailable(query);
  }
  if (record.requestDigest !== query.requestDigest) {
    return { kind: 'refuse', reason: 'key-reused', notRun: true };
  }
  if (record.phase === 'claimed') return decideClaimed(record, query);
  if (record.phase === 'sending') return decideSending(record, query);
  if (record.phase === 'not-run') return decideNotRun(record, query);
  if (record.phase === 'unknown') return { kind: 'unknown', owner: record.owner };
  const { phase: word, result } = record;
  return result === undefined ? { kind: 'answer', word } : { kind: 'answer', word, result };
}
