import type { Random } from '@ragwortrudder/core';
import type { FaultKind } from '../types/fault-kind.ts';
import type { PlannedFault } from '../types/planned-fault.ts';
import { CONFIGURATION_CHANGES } from './configuration-changes.ts';
import { ENDLESS_REQUESTS } from './endless-requests.ts';
import { ENDLESS_RESPONSES } from './endless-responses.ts';
import { ODD_ENTRIES } from './odd-entries.ts';

interface PlanOptions {
  readonly lengthMs: number;
  readonly nodes: number;
  readonly runners: number;
  /**
   * Number of runners, from the first one on, that the routes lead to unless they are moved.
   * @default runners
   */
  readonly busyRunners?: number;
  readonly random: Random;
  /** Draws from the kinds of `ENDLESS_KINDS`, too. */
  readonly endless?: boolean | undefined;
  /** Adds an evacuation of a failure domain; the other faults of the seed stay as they are. */
  readonly evacuates?: boolean | undefined;
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
  'runner-early-reset',
  'runner-invalid-status',
];
/** Kinds of runners that requests reach without a change of the routes. */
const BUSY_KINDS: ReadonlySet<FaultKind> = new Set([
  'runner-endless',
  'runner-early-reset',
  'runner-invalid-status',
]);
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
/** Kinds that are drawn on request only. */
const ENDLESS_KINDS: readonly FaultKind[] = [
  'runner-endless',
  'runners-endless',
  'caller-endless',
  'store-endless',
  'caller-slow-body',
  'configure-series',
];
/** Those of them in which all runners stay sound, and how often each is drawn. */
const SOUND_ENDLESS: readonly FaultKind[] = [
  'caller-endless',
  'caller-slow-body',
  'configure-series',
];
const SOUND_ENDLESS_WEIGHT = 4;
/** Kinds beside which each request that reaches no faulty runner is served. */
const BESIDE_KINDS: readonly FaultKind[] = [
  'runner-endless',
  'runner-endless',
  'caller-endless',
  'caller-endless',
  'store-endless',
  'caller-slow-body',
  'configure',
  'configure-idle',
  'node-reload',
  'odd-entry',
  'cloud-down',
];
/** Number of targets of the kinds that are neither of nodes nor of runners. */
const TARGETS: Partial<Readonly<Record<FaultKind, number>>> = {
  'odd-entry': ODD_ENTRIES.length,
  'configure-series': CONFIGURATION_CHANGES.length,
};
/** Kinds with bytes without end, slow bodies and series of changes in which all runners stay sound. */
const SOUND_ENDLESS_KINDS: readonly FaultKind[] = [
  ...SOUND_KINDS,
  ...Array.from({ length: SOUND_ENDLESS_WEIGHT }, () => SOUND_ENDLESS).flat(),
];
/** Names of the bytes that a kind of fault sends. */
const VARIANTS: Partial<Readonly<Record<FaultKind, readonly string[]>>> = {
  'runner-endless': Object.keys(ENDLESS_RESPONSES),
  'runners-endless': Object.keys(ENDLESS_RESPONSES),
  'store-endless': Object.keys(ENDLESS_RESPONSES),
  'caller-endless': Object.keys(ENDLESS_REQUESTS),
};
/** Share of the runs in which all runners stay sound. */
const SOUND_SHARE = 1 / 3;
/** Share of the runs with bytes without end that have no other faults which take requests. */
const BESIDE_SHARE = 1 / 3;
/** Times that each kind with bytes without end is as likely as another kind. */
const ENDLESS_WEIGHT = 5;
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
/** Time in which a silence, a loss of links and changes of the configuration begin, in milliseconds. */
const CHANGE_SERIES_MS = 50;
/**
 * Duration of an evacuation, in milliseconds: longer than the time within which it must have taken
 * effect.
 */
const MIN_EVACUATION_MS = 8_000;
const MAX_EVACUATION_MS = 14_000;
const LOST_LINKS: readonly FaultKind[] = ['links-cut', 'links-dark', 'links-refuse-new'];

/**
 * Draws the faults of a soak at random. Faults may overlap or start at the same time; all end before
 * the recovery time begins.
 */
export function planFaults({
  lengthMs,
  nodes,
  runners,
  busyRunners = runners,
  random,
  endless = false,
  evacuates = false,
}: PlanOptions): readonly PlannedFault[] {
  const endMs = lengthMs - RECOVERY_TIME_MS;
  const kinds = endless
    ? drawEndlessKinds(random)
    : random.next() < SOUND_SHARE
      ? SOUND_KINDS
      : KINDS;
  const faults: PlannedFault[] = [];
  const countTargets = (kind: FaultKind): number => {
    if (BUSY_KINDS.has(kind)) return busyRunners;
    // One more target of a store means all nodes.
    if (kind === 'store-endless') return nodes + 1;
    return TARGETS[kind] ?? (kind.startsWith('runner') ? runners : nodes);
  };
  const add = (kind: FaultKind, atMs: number): void => {
    const forMs = Math.min(endMs - atMs, drawBetween(random, MIN_FAULT_MS, MAX_FAULT_MS));
    const target = drawIndex(random, countTargets(kind));
    const variants = VARIANTS[kind];
    const variant = variants?.[drawIndex(random, variants.length)];
    faults.push({ kind, atMs, forMs, target, ...(variant === undefined ? {} : { variant }) });
  };
  let atMs = INITIAL_DELAY_MS;
  while (atMs < endMs) {
    const kind = kinds[drawIndex(random, kinds.length)] ?? 'node-kill';
    if (kind === 'runner-silent' || kind === 'configure-series') {
      const silences = planSilences({ atMs, endMs, runners, random });
      faults.push(...silences);
      if (kind === 'configure-series') {
        const links = LOST_LINKS[drawIndex(random, LOST_LINKS.length)] ?? 'links-cut';
        add(kind, atMs + random.next() * CHANGE_SERIES_MS);
        add(links, atMs + random.next() * CHANGE_SERIES_MS);
      }
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
  // Not where runners are to stay sound. Drawn last, so that the others of a seed stay as they are.
  if (kinds.includes('runner-errors')) {
    faults.push(...planSpoiltHeads({ endMs, runners: busyRunners, random }));
  }
  if (evacuates && endMs - INITIAL_DELAY_MS >= MIN_EVACUATION_MS) {
    const forMs = drawBetween(
      random,
      MIN_EVACUATION_MS,
      Math.min(MAX_EVACUATION_MS, endMs - INITIAL_DELAY_MS),
    );
    const startMs = drawBetween(random, INITIAL_DELAY_MS, endMs - forMs);
    const target = drawIndex(random, runners);
    faults.push({ kind: 'domain-evacuated', atMs: startMs, forMs, target });
  }
  return faults;
}

/**
 * Draws the kinds of a run with bytes without end: those beside which requests are served, those in
 * which all runners stay sound, or all.
 */
function drawEndlessKinds(random: Random): readonly FaultKind[] {
  const drawn = random.next();
  if (drawn < BESIDE_SHARE) return BESIDE_KINDS;
  if (drawn < BESIDE_SHARE + SOUND_SHARE) return SOUND_ENDLESS_KINDS;
  return [...KINDS, ...Array.from({ length: ENDLESS_WEIGHT }, () => ENDLESS_KINDS).flat()];
}

interface SpoiltHeadOptions {
  readonly endMs: number;
  /** Number of runners that requests reach without a change of the routes. */
  readonly runners: number;
  readonly random: Random;
}

/** Draws spoilt heads for a time of each runner, none in a run that has no time for faults. */
function planSpoiltHeads({ endMs, runners, random }: SpoiltHeadOptions): readonly PlannedFault[] {
  if (endMs <= INITIAL_DELAY_MS) return [];
  return Array.from({ length: runners }, (_item, target) => {
    const atMs = drawBetween(random, INITIAL_DELAY_MS, endMs);
    const forMs = Math.min(endMs - atMs, drawBetween(random, MIN_FAULT_MS, MAX_FAULT_MS));
    return { kind: 'runner-spoilt-head', atMs, forMs, target };
  });
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
