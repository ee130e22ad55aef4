import { setTimeout as sleep } from 'node:timers/promises';
import type { Fleet } from '@ragwortrudder/standins';
import { pollCounters } from '../node/poll-counters.ts';
import { replay } from '../node/replay.ts';
import { withFleet } from '../node/with-fleet.ts';
import type { AnswerTiming } from '../types/answer-timing.ts';
import { planLongStreams } from '../utils/plan-long-streams.ts';
import { percentile } from '../utils/percentile.ts';

interface SilentRun {
  /** Fault injected into a third of the engines, or into the connections to them. */
  readonly fault: 'streams stall' | 'connections go silent' | 'slow x5' | 'slow x10';
  /** Whether silent streams are probed; otherwise only the deadline of a request ends them. */
  readonly isDetected: boolean;
  readonly seed: number;
}

const TENANT = { tenant: 'novak', key: 'novak-bench-key-0123456789' };
const ENGINE = { stepMs: 30, tokenBudget: 256, prefillTokenMs: 0.3, cacheBlocks: 256 };
const RUNNERS = 6;
const ARRIVALS_MS = 10_000;
const FAULT_AT_MS = 7000;
const RATE = 3;
const RETRY_WINDOW_MS = 1000;
const DETECTION_DISABLED_MS = 600_000;
const MIN_SILENCE_MS = 500;
/** Time after the fault at which connections are closed when detection is off. */
const DEADLINE_MS = 30_000;
const SLOW_FACTORS = { 'slow x5': 5, 'slow x10': 10 };
/** Shortest gap between tokens that counts as an interruption. */
const MIN_INTERRUPTION_MS = 400;
const FAULT_PROXIMITY_MS = 1000;

async function injectFault(fleet: Fleet, { fault }: SilentRun): Promise<void> {
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

/**
 * Closes the connections that are still open when the deadline of the last request before the fault
 * passes.
 */
async function closeAtDeadline(fleet: Fleet, { fault }: SilentRun): Promise<void> {
  await sleep(DEADLINE_MS, undefined, { ref: false });
  const ids = fleet.runners
    .filter(({ failureDomain }) => failureDomain === 'a')
    .map(({ id }) => id);
  if (fault === 'connections go silent') await fleet.linkFault({ to: ids }, 'cut');
  else await Promise.all(ids.map((id) => fleet.engineFault(id, { refuse: true })));
}

/**
 * Returns the length of the first interruption that started within 1 s of the fault, or undefined
 * if there is none.
 */
function interruptionMs({ request, firstMs, gapsMs }: AnswerTiming): number | undefined {
  let tokenAtMs = request.atMs + firstMs;
  for (const gap of gapsMs) {
    if (gap > MIN_INTERRUPTION_MS && Math.abs(tokenAtMs - FAULT_AT_MS) < FAULT_PROXIMITY_MS)
      return gap;
    tokenAtMs += gap;
  }
  return undefined;
}

function valuesOf(
  answers: readonly AnswerTiming[],
  counters: ReadonlyMap<string, number>,
): Readonly<Record<string, number>> {
  const sumCounters = (text: string): number =>
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
    probesRetired: sumCounters('stream_probes_total{result="PROBE_OK"'),
    probesExplained: sumCounters('stream_probes_total{result="PROGRESS"'),
    probesFailed: sumCounters('stream_probes_total{result="PROBE_FAIL"'),
    recomputedSilent: sumCounters('tokens_recomputed_total{cause="silent-connection"'),
    recomputed: sumCounters('tokens_recomputed'),
    elapsedP95: percentile(
      answers.map(({ elapsedMs }) => elapsedMs),
      0.95,
    ),
  };
}

/** Injects a fault while long streams run, with or without detection of silent connections. */
export async function runSilent(run: SilentRun): Promise<Readonly<Record<string, number>>> {
  const { seed, isDetected, fault } = run;
  const planned = planLongStreams({
    ...{ seed, rate: RATE, durationMs: ARRIVALS_MS, tenant: TENANT.tenant },
  });
  const hasRelays = fault === 'connections go silent';
  const options = {
    ...{ seed, tenants: [TENANT], relays: hasRelays, runnerRelays: hasRelays },
    settings: { runners: { minSilenceMs: isDetected ? MIN_SILENCE_MS : DETECTION_DISABLED_MS } },
    runners: [
      {
        ...{ service: 'quotes', version: 'v1', kind: 'model' as const },
        ...{ count: RUNNERS, options: ENGINE },
      },
    ],
  };
  return withFleet(options, async (fleet) => {
    const replaying = replay({
      planned,
      nodes: fleet.entries.map(({ address }) => address),
      keys: new Map([[TENANT.tenant, TENANT.key]]),
      ...{ seed, patienceMs: RETRY_WINDOW_MS },
    });
    await sleep(FAULT_AT_MS);
    await injectFault(fleet, run);
    const readFinalCounters = pollCounters(fleet);
    if (!run.isDetected) void closeAtDeadline(fleet, run).catch(() => undefined);
    const answers = await replaying;
    return valuesOf(answers, await readFinalCounters());
  });
}
