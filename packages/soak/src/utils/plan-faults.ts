import type { Random } from '@ragwortrudder/core';
import type { FaultKind } from '../types/fault-kind.ts';
import type { PlannedFault } from '../types/planned-fault.ts';
import { ODD_ENTRIES } from './odd-entries.ts';

interface PlanOptions {
  readonly lengthMs: number;
  readonly nodes: number;
  readonly runners: number;
  readonly random: Random;
}

/** Faults that are injected while runners are silent. */
const COMPANIONS: readonly FaultKind[] = [
  'configure',
  'configure-timeouts',
  'configure-attempts',
  'configure-idle',
  'configure-moves',
  'configure-removes',
  'configure-keys',
  'configure-caps',
  'node-stop',
  'node-reload',
  'roll-stop',
  'links-cut',
  'links-dark',
  'links-refuse-new',
  'odd-entry',
];
/** Faults that stop nodes or tell them to reload, and that come in series beside silences. */
const SIGNALS: readonly FaultKind[] = ['node-stop', 'node-reload', 'roll-stop', 'node-kill'];
/** Faults beside which signals come in series. */
const SERIES: readonly FaultKind[] = [
  ...SIGNALS,
  ...COMPANIONS.filter((kind) => /^(configure|links-)/.test(kind)),
  'links-most-cut',
  'runner-drain',
];
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
  'configure-timeouts',
  'configure-attempts',
  'configure-idle',
  'configure-moves',
  'configure-removes',
  'configure-keys',
  'configure-caps',
  'runner-silent',
  'odd-entry',
  'runner-repeats-refusal',
  'streams-restart',
  'streams-fail-resumed',
  'streams-empty-resumed',
];
/** Kinds in which all runners stay sound; a part of the runs has no others. */
const SOUND_KINDS: readonly FaultKind[] = [
  ...COMPANIONS,
  'runner-silent',
  'runner-silent',
  'runner-silent',
  'runner-silent',
  'runner-drain',
  'store-busy',
  'store-silent',
  'store-lost',
  'cloud-down',
];
/** Share of the runs in which all runners stay sound. */
const SOUND_SHARE = 1 / 3;
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
const MIN_SILENCE_MS = 1_000;
const MAX_SILENCE_MS = 1_500;
/** Pause between silences, so that none is longer than its maximum, in milliseconds. */
const SILENCE_GAP_MS = 300;
const MAX_SILENCES = 3;
/** Time after the begin of a silence in which a series of faults begins, in milliseconds. */
const SERIES_MS = 800;
const MAX_COMPANIONS = 3;

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
  const kinds = random.next() < SOUND_SHARE ? SOUND_KINDS : KINDS;
  const faults: PlannedFault[] = [];
  const add = (kind: FaultKind, atMs: number): void => {
    const forMs = Math.min(endMs - atMs, drawBetween(random, MIN_FAULT_MS, MAX_FAULT_MS));
    const targets = kind.startsWith('runner')
      ? runners
      : kind === 'odd-entry'
        ? ODD_ENTRIES.length
        : nodes;
    faults.push({ kind, atMs, forMs, target: drawIndex(random, targets) });
  };
  let atMs = INITIAL_DELAY_MS;
  while (atMs < endMs) {
    const kind = kinds[drawIndex(random, kinds.length)] ?? 'node-kill';
    if (kind === 'runner-silent') {
      const silences = planSilences({ atMs, endMs, runners, random });
      faults.push(...silences);
      for (const silence of silences.filter(({ target }) => target === silences[0]?.target)) {
        const count = 1 + drawIndex(random, MAX_COMPANIONS);
        for (let index = 0; index < count; index += 1) {
          const companion = COMPANIONS[drawIndex(random, COMPANIONS.length)] ?? 'configure';
          add(companion, silence.atMs + random.next() * silence.forMs);
        }
      }
      atMs = Math.max(atMs, ...silences.map((silence) => silence.atMs + silence.forMs));
    } else {
      add(kind, atMs);
      if (random.next() < SIMULTANEOUS_SHARE) continue;
    }
    atMs += drawBetween(random, MIN_GAP_MS, MAX_GAP_MS);
  }
  const silences = faults.filter(({ kind }) => kind === 'runner-silent');
  for (const startMs of new Set(silences.map((silence) => silence.atMs))) {
    for (const kinds of [SERIES, SIGNALS]) {
      const kind = kinds[drawIndex(random, kinds.length)] ?? 'node-reload';
      add(kind, startMs + random.next() * SERIES_MS);
    }
  }
  return faults;
}

interface SilenceOptions {
  readonly atMs: number;
  readonly endMs: number;
  readonly runners: number;
  readonly random: Random;
}

/** Draws one silence or several in turn, of one runner, some or all. */
function planSilences({ atMs, endMs, runners, random }: SilenceOptions): readonly PlannedFault[] {
  const silences: PlannedFault[] = [];
  const counts = [1, 1 + drawIndex(random, runners), runners];
  const count = counts[drawIndex(random, counts.length)] ?? 1;
  const first = drawIndex(random, runners);
  const times = 1 + drawIndex(random, MAX_SILENCES);
  let startMs = atMs;
  for (let time = 0; time < times; time += 1) {
    const forMs = drawBetween(random, MIN_SILENCE_MS, MAX_SILENCE_MS);
    if (startMs + forMs > endMs) break;
    for (let index = 0; index < count; index += 1) {
      const target = (first + index) % runners;
      silences.push({ kind: 'runner-silent', atMs: startMs, forMs, target });
    }
    startMs += forMs + SILENCE_GAP_MS + random.next() * MAX_SILENCE_MS;
  }
  return silences;
}

function drawBetween(random: Random, min: number, max: number): number {
  return min + random.next() * (max - min);
}

function drawIndex(random: Random, count: number): number {
  return Math.floor(random.next() * count);
}
