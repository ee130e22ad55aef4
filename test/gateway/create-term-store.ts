import { SystemClock } from '@ragwortrudder/core';
import type { Clock } from '@ragwortrudder/core';
import type { KeyedLog } from '@ragwortrudder/log';
import type { DecisionLog } from '../../packages/gateway/src/node/decision-log.ts';
import type { PeerEntry } from '../../packages/gateway/src/types/peer-entry.ts';
import { DutyTermStore } from '../../packages/gateway/src/node/duty-term-store.ts';

interface CreateTermStoreOptions {
  readonly log: KeyedLog;
  readonly node: string;
  readonly entry?: PeerEntry;
  /** @default the clock of the system */
  readonly clock?: Clock;
  /**
   * Lease of the term, in milliseconds.
   * @default 3000
   */
  readonly leaseMs?: number;
  readonly decisions?: DecisionLog;
}

/** Creates the duty term store of a node. */
export function createTermStore(options: CreateTermStoreOptions): DutyTermStore {
  return new DutyTermStore({ clock: new SystemClock(), leaseMs: 3_000, ...options });
}
