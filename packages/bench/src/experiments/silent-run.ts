import { setTimeout as sleep } from 'node:timers/promises';
import type { Fleet } from '@ragwortrudder/standins';
import { readCounters } from '../node/read-counters.ts';
import { replay } from '../node/replay.ts';
import { withFleet } from '../node/with-fleet.ts';
import type { AnswerTiming } from '../types/answer-timing.ts';
import { longStreams } from '../utils/long-streams.ts';
import { percentile } from '../utils/percentile.ts';

interface SilentRun {
  /** What happens to a third of the engines, or to the connections to them. */
  readonly fault: 'streams stall' | 'connections go silent' | 'slow x5' | 'slow x10';
  /** False leaves it to the deadline of a request. */
  readonly isDetected: boolean;
  readonly seed: number;
}

const TENANT = { tenant: 'novak', key: 'novak-bench-key-0123456789' };
const ENGINE = { stepMs: 30, tokenBudget: 256, prefillTokenMs: 0.3, cacheBlocks: 256 };
const RUNNERS = 6;
const SENT_MS = 10_000;
const FAULT_AT_MS = 7000;
const RATE = 3;
const PATIENCE_MS = 1000;
const NEVER_MS = 600_000;
const MIN_SILENCE_MS = 500;
/** Time after the fault at which connections without detection are closed. */
const DEADLINE_MS = 30_000;
const SLOW_FACTORS = { 'slow x5': 5, 'slow x10': 10 };
/** Gap between tokens above which a stream counts as interrupted. */
const INTERRUPTED_MS = 400;
const NEAR_MS = 1000;

async function bringAbout(fleet: Fleet, { fault }: SilentRun): Promise<void> {
  const ids = fleet.runners
    .filter(({ failureDomain }) => failureDomain === 'a')
    .map(({ id }) => id);
  if (fault === 'connections go silent') {
    await fleet.linkFault({ to: ids }, 'silent');
    return;
  }
  const change = fault === 'streams stall' ? { stall: true } : { slowFactor: SLOW_FACTORS[fault] };
  await Promise.all(ids.map((id) => fleet.engineFault(id, change)));
}

/** Closes the connections that are still open when the deadline of the last request before the fault has come. */
async function closeAtDeadline(fleet: Fleet, { fault }: SilentRun): Promise<void> {
  await sleep(DEADLINE_MS, undefined, { ref: false });
  const ids = fleet.runners
    .filter(({ failureDomain }) => failureDomain === 'a')
    .map(({ id }) => id);
  if (fault === 'connections go silent') await fleet.linkFault({ to: ids }, 'cut');
  else await Promise.all(ids.map((id) => fleet.engineFault(id, { refuse: true })));
}

/** Longest gap of an answer that began about when the fault did; undefined without one. */
function interruptionMs({ request, firstMs, gapsMs }: AnswerTiming): number | undefined {
  let at = request.atMs + firstMs;
  for (const gap of gapsMs) {
    if (gap > INTERRUPTED_MS && Math.abs(at - FAULT_AT_MS) < NEAR_MS) return gap;
    at += gap;
  }
  return undefined;
}

function valuesOf(
  answers: readonly AnswerTiming[],
  counters: ReadonlyMap<string, number>,
): Readonly<Record<string, number>> {
  const count = (text: string): number =>
    [...counters]
      .filter(([name]) => name.includes(text))
      .reduce((sum, [, value]) => sum + value, 0);
  const lost = answers.filter(({ outcome }) => outcome !== 'done');
  const gaps = answers.map(interruptionMs).filter((gap) => gap !== undefined);
  return {
    requests: answers.length,
    lost: lost.length,
    late: answers.filter(({ elapsedMs }) => elapsedMs > DEADLINE_MS).length,
    resumed: gaps.length,
    gapP50: percentile(gaps, 0.5),
    gapP95: percentile(gaps, 0.95),
    gapMax: gaps.length === 0 ? Number.NaN : Math.max(...gaps),
    probesRetired: count('stream_probes_total{result="PROBE_OK"'),
    probesExplained: count('stream_probes_total{result="PROGRESS"'),
    probesFailed: count('stream_probes_total{result="PROBE_FAIL"'),
    recomputedSilent: count('tokens_recomputed_total{cause="silent-connection"'),
    recomputed: count('tokens_recomputed'),
    elapsedP95: percentile(
      answers.map(({ elapsedMs }) => elapsedMs),
      0.95,
    ),
  };
}

/** Brings a fault about while long streams run, with detection of silent connections or without. */
export async function runSilent(run: SilentRun): Promise<Readonly<Record<string, number>>> {
  const { seed, isDetected, fault } = run;
  const planned = longStreams({
    ...{ seed, rate: RATE, durationMs: SENT_MS, tenant: TENANT.tenant },
  });
  const hasRelays = fault === 'connections go silent';
  const options = {
    ...{ seed, tenants: [TENANT], relays: hasRelays, runnerRelays: hasRelays },
    settings: { runners: { minSilenceMs: isDetected ? MIN_SILENCE_MS : NEVER_MS } },
    runners: [
      {
        ...{ service: 'quotes', version: 'v1', kind: 'model' as const },
        ...{ count: RUNNERS, options: ENGINE },
      },
    ],
  };
  return withFleet(options, async (fleet) => {
    const sent = replay({
      planned,
      nodes: fleet.entries.map(({ address }) => address),
      keys: new Map([[TENANT.tenant, TENANT.key]]),
      ...{ seed, patienceMs: PATIENCE_MS },
    });
    await sleep(FAULT_AT_MS);
    await bringAbout(fleet, run);
    const counters = readCounters(fleet);
    if (!run.isDetected) void closeAtDeadline(fleet, run).catch(() => undefined);
    const answers = await sent;
    return valuesOf(answers, await counters());
  });
}
