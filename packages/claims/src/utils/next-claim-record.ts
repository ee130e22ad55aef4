import type { ClaimEntry } from '../types/claim-entry.ts';
import type { ClaimRecord } from '../types/claim-record.ts';
import type { OutcomeWord } from '../types/outcome-word.ts';
import { sameOwner } from './same-owner.ts';

type Of<Type extends ClaimEntry['type']> = Extract<ClaimEntry, { readonly type: Type }>;

interface Context {
  readonly record: ClaimRecord | undefined;
  /** Position of the entry. */
  readonly position: number;
  /** Log time of the entry, in milliseconds since the epoch. */
  readonly timeMs: number;
}

function claim(entry: Of<'claim'>, context: Context): ClaimRecord | undefined {
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

function outcomeCounts(record: ClaimRecord, word: OutcomeWord, byOwner: boolean): boolean {
  if (record.phase === 'claimed') return byOwner && word === 'not-run';
  if (record.phase === 'sending') return byOwner || word === 'unknown';
  if (record.phase === 'unknown') return byOwner && (word === 'completed' || word === 'failed');
  return false;
}

function outcome(entry: Of<'outcome'>, record: ClaimRecord): Partial<ClaimRecord> | undefined {
  if (!outcomeCounts(record, entry.word, sameOwner(record.owner, entry))) return undefined;
  if (entry.result === undefined) return { phase: entry.word };
  return { phase: entry.word, result: entry.result };
}

function change(entry: ClaimEntry, record: ClaimRecord): Partial<ClaimRecord> | undefined {
  if (entry.type === 'claim' || entry.attempt !== record.attempt) return undefined;
  if (entry.type === 'outcome') return outcome(entry, record);
  if (record.phase !== 'claimed') return undefined;
  if (entry.type === 'takeover') {
    return sameOwner(record.owner, entry.from) ? { owner: entry.to } : undefined;
  }
  if (!sameOwner(record.owner, entry)) return undefined;
  return { phase: entry.type === 'sending' ? 'sending' : 'not-run' };
}

/**
 * Returns the record after an entry, or undefined when the entry is void. The first claim wins; a
 * takeover, an abandon and a `sending` count only before the first effective `sending`; only the
 * owner reports an outcome, except that anyone may state that a sent request is `unknown`.
 */
export function nextClaimRecord(entry: ClaimEntry, context: Context): ClaimRecord | undefined {
  if (entry.type === 'claim') return claim(entry, context);
  if (!context.record) return undefined;
  const changed = change(entry, context.record);
  return changed && { ...context.record, ...changed, changedAtMs: context.timeMs };
}
