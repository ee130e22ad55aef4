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
  'store-restores',
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
  'runner-unframed',
  'runner-cut',
  'runner-reset',
  'runner-link-cut',
  'runner-link-silent',
  'runner-link-one-way',
  'runner-link-slow',
  'configure',
  'runner-limit',
  'prompt-crash',
  'request-crash',
  'runner-leaves',
  'links-cut',
  'links-dark',
  'links-refuse-new',
  'links-most-cut',
  'runner-rests',
  'runners-rest',
];
/** Time without faults before the first one, in milliseconds. */
const INITIAL_DELAY_MS = 2_000;
/**
 * Time without faults after the last one, in milliseconds: the recovery time that the platform
 * specifies.
 */
const RECOVERY_TIME_MS = 14_000;
const MIN_GAP_MS = 200;
const MAX_GAP_MS = 2_500;
const MIN_FAULT_MS = 500;
const MAX_FAULT_MS = 5_000;
/** Share of the faults that are followed by another one at the same time. */
const SIMULTANEOUS_SHARE = 0.25;

/**
 * Draws the faults of a soak at random. Faults may overlap or start at the same time; all end before
 * the recovery time begins.
 */
export function planFaults({
  lengthMs,
  nodes,
  runners,
  random,
}: PlanOptions): readonly PlannedFault[] {
  const endMs = lengthMs - RECOVERY_TIME_MS;
  const faults: PlannedFault[] = [];
  let atMs = INITIAL_DELAY_MS;
  while (atMs < endMs) {
    const kind = KINDS[Math.floor(random.next() * KINDS.length)] ?? 'node-kill';
    const forMs = Math.min(
      endMs - atMs,
      MIN_FAULT_MS + random.next() * (MAX_FAULT_MS - MIN_FAULT_MS),
    );
    const targets = kind.startsWith('runner') ? runners : nodes;
    faults.push({ kind, atMs, forMs, target: Math.floor(random.next() * targets) });
    if (random.next() < SIMULTANEOUS_SHARE) continue;
    atMs += MIN_GAP_MS + random.next() * (MAX_GAP_MS - MIN_GAP_MS);
  }
  return faults;
}
