import type { ClaimEntry } from '../types/claim-entry.ts';
import type { ClaimRecord } from '../types/claim-record.ts';
import type { ExecutionOutcome } from '../types/execution-outcome.ts';
import { sameOwner } from './same-owner.ts';

type EntryOf<Type extends ClaimEntry['type']> = Extract<ClaimEntry, { readonly type: Type }>;

interface Context {
  readonly record: ClaimRecord | undefined;
  /** Position of the entry. */
  readonly position: number;
  /** Log time of the entry, in milliseconds since the epoch. */
  readonly timeMs: number;
}

function applyClaim(entry: EntryOf<'claim'>, context: Context): ClaimRecord | undefined {
  const { record, position, timeMs } = context;
  if (entry.validUntil !== undefined && timeMs > entry.validUntil) return undefined;
  if (record && record.phase !== 'not-run') return undefined;
  if (record && record.requestDigest !== entry.requestDigest) return undefined;
  return {
    tenant: entry.tenant,
    key: entry.key,
    service: entry.service,
    requestDigest: entry.requestDigest,
    attempt: position,
    owner: { node: entry.node, incarnation: entry.incarnation },
    phase: 'claimed',
    changedAtMs: timeMs,
  };
}

function isOutcomeAccepted(record: ClaimRecord, word: ExecutionOutcome, byOwner: boolean): boolean {
  if (record.phase === 'claimed') return byOwner && word === 'not-run';
  if (record.phase === 'sending') return byOwner || word === 'unknown';
  if (record.phase === 'unknown') return byOwner && (word === 'completed' || word === 'failed');
  return false;
}

function applyOutcome(
  entry: EntryOf<'outcome'>,
  record: ClaimRecord,
): Partial<ClaimRecord> | undefined {
  if (!isOutcomeAccepted(record, entry.word, sameOwner(record.owner, entry))) return undefined;
  if (entry.result === undefined) return { phase: entry.word };
  return { phase: entry.word, result: entry.result };
}

function applyChange(entry: ClaimEntry, record: ClaimRecord): Partial<ClaimRecord> | undefined {
  if (entry.type === 'claim' || entry.attempt !== record.attempt) return undefined;
  if (entry.type === 'outcome') return applyOutcome(entry, record);
  if (record.phase !== 'claimed') return undefined;
  if (entry.type === 'takeover') {
    return sameOwner(record.owner, entry.from) ? { owner: entry.to } : undefined;
  }
  if (!sameOwner(record.owner, entry)) return undefined;
  return { phase: entry.type === 'sending' ? 'sending' : 'not-run' };
}

/**
 * Returns the record after an entry, or undefined if the entry has no effect. The first claim wins;
 * `takeover`, `abandon` and `sending` are effective only before the first effective `sending`; only
 * the owner may report an outcome, except that any node may report `unknown` for a sent request.
 */
export function nextClaimRecord(entry: ClaimEntry, context: Context): ClaimRecord | undefined {
  if (entry.type === 'claim') return applyClaim(entry, context);
  if (!context.record) return undefined;
  const changed = applyChange(entry, context.record);
  return changed && { ...context.record, ...changed, changedAtMs: context.timeMs };
}
