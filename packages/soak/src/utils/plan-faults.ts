import type { Random } from '@ragwortrudder/core';
import type { FaultKind } from '../types/fault-kind.ts';
import type { PlannedFault } from '../types/planned-fault.ts';

interface PlanOptions {
  readonly lengthMs: number;
  readonly nodes: number;
  readonly runners: number;
  readonly random: Random;
}

const KINDS: readonly FaultKind[] = [
  'node-stop',
  'node-kill',
  'node-pause',
  'node-reload',
  'all-kill',
  'roll-stop',
  'store-busy',
  'store-silent',
  'store-reset',
  'store-lost',
  'store-forgets',
  'store-link-cut',
  'store-link-silent',
  'store-link-one-way',
  'store-link-slow',
  'cloud-down',
  'runner-crash',
  'runner-drain',
  'runner-errors',
  'runner-mute',
  'runner-break-off',
  'runner-link-cut',
  'runner-link-silent',
  'runner-link-one-way',
  'runner-link-slow',
  'configure',
];
/** Calm before the first fault, in milliseconds. */
const CALM_MS = 2_000;
/** Calm after the last fault, in milliseconds: the time to recover that the platform states. */
const RECOVERY_MS = 14_000;
const MIN_GAP_MS = 200;
const MAX_GAP_MS = 2_500;
const MIN_FAULT_MS = 500;
const MAX_FAULT_MS = 5_000;
/** Part of the faults that come again at once, or with another one at the same moment. */
const SERIES_SHARE = 0.25;

/** Draws the faults of a soak. They overlap and come in series; all end before the time to recover. */
export function planFaults({
  lengthMs,
  nodes,
  runners,
  random,
}: PlanOptions): readonly PlannedFault[] {
  const endMs = lengthMs - RECOVERY_MS;
  const faults: PlannedFault[] = [];
  let atMs = CALM_MS;
  while (atMs < endMs) {
    const kind = KINDS[Math.floor(random.next() * KINDS.length)] ?? 'node-kill';
    const forMs = Math.min(
      endMs - atMs,
      MIN_FAULT_MS + random.next() * (MAX_FAULT_MS - MIN_FAULT_MS),
    );
    const targets = kind.startsWith('runner') ? runners : nodes;
    faults.push({ kind, atMs, forMs, target: Math.floor(random.next() * targets) });
    if (random.next() < SERIES_SHARE) continue;
    atMs += MIN_GAP_MS + random.next() * (MAX_GAP_MS - MIN_GAP_MS);
  }
  return faults;
}
