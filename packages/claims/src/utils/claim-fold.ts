import type { Entry, Fold, Snapshotter } from '@ragwortrudder/log';
import { ClaimEntry } from '../types/claim-entry.ts';
import type { ClaimOptions } from '../types/claim-options.ts';
import type { ClaimState } from '../types/claim-state.ts';
import { claimSnapshotter } from './claim-snapshotter.ts';
import { findClaim } from './find-claim.ts';
import { nextClaimRecord } from './next-claim-record.ts';
import { putClaim } from './put-claim.ts';

const DEFAULT_RETENTION_MS = 86_400_000;

function apply(state: ClaimState, entry: Entry): ClaimState {
  const timeMs = Math.max(state.logTimeMs, entry.time);
  const now = timeMs === state.logTimeMs ? state : { ...state, logTimeMs: timeMs };
  const parsed = ClaimEntry.safeParse(entry.body);
  if (!parsed.success) return now;
  const record = findClaim(now, parsed.data.tenant, parsed.data.key);
  const next = nextClaimRecord(parsed.data, { record, position: entry.position, timeMs });
  return next ? putClaim(now, next) : now;
}

interface ClaimFold extends Fold<ClaimState> {
  readonly snapshotter: Snapshotter<ClaimState>;
}

/** Creates the deterministic fold of the stream `claims`: the same log prefix yields the same state on every node. */
export function claimFold(options: ClaimOptions = {}): ClaimFold {
  const retentionMs = options.retentionMs ?? DEFAULT_RETENTION_MS;
  const initial = { logTimeMs: 0, retentionMs, writes: 0, shards: {} };
  return { initial, snapshotter: claimSnapshotter, apply };
}
