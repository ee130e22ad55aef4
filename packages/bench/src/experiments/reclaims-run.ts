import { setTimeout as sleep } from 'node:timers/promises';
import { SeededRandom } from '@ragwortrudder/core';
import type { Fleet, FleetRunner } from '@ragwortrudder/standins';
import { pollCounters } from '../node/poll-counters.ts';
import { replay } from '../node/replay.ts';
import { withFleet } from '../node/with-fleet.ts';
import type { AnswerTiming } from '../types/answer-timing.ts';
import type { PlannedRequest } from '../types/planned-request.ts';
import { planLongStreams } from '../utils/plan-long-streams.ts';
import { percentile } from '../utils/percentile.ts';

interface ReclaimRun {
  readonly policy: 'cost' | 'finish' | 'recompute' | 'move-kv';
  readonly wave: 'one runner' | 'a third' | 'a failure domain' | '42%';
  readonly noticeMs: number;
  readonly seed: number;
}

const TENANT = { tenant: 'novak', key: 'novak-bench-key-0123456789' };
const RUNNERS = 12;
const ENGINE = { stepMs: 30, tokenBudget: 256, prefillTokenMs: 0.3, cacheBlocks: 256 };
const ARRIVALS_MS = 9000;
const WAVE_AT_MS = 5500;
const RATE = 3;
const RETRY_WINDOW_MS = 30_000;
const RUNNERS_IN_A_THIRD = 4;
const RUNNERS_IN_42_PERCENT = 5;
const MEMBERSHIP = { probePeriodMs: 300, probeTimeoutMs: 200, suspicionMs: 1200 };

/** Returns the runners that the wave reclaims, in a random order derived from the seed. */
function chooseRunners(fleet: Fleet, { wave, seed }: ReclaimRun): readonly FleetRunner[] {
  const random = new SeededRandom(seed);
  const shuffled = fleet.runners
    .map((runner) => ({ runner, key: random.next() }))
    .sort((a, b) => a.key - b.key)
    .map(({ runner }) => runner);
  if (wave === 'one runner') return shuffled.slice(0, 1);
  if (wave === 'a third') return shuffled.slice(0, RUNNERS_IN_A_THIRD);
  if (wave === '42%') return shuffled.slice(0, RUNNERS_IN_42_PERCENT);
  return shuffled.filter(({ failureDomain }) => failureDomain === 'a');
}

async function reclaimWave(fleet: Fleet, run: ReclaimRun): Promise<void> {
  const { noticeMs, wave } = run;
  const vmIds = chooseRunners(fleet, run).map(({ vmId }) => vmId);
  const entries = fleet.entries.filter(({ failureDomain }) => failureDomain === 'a');
  const nodeNames = wave === 'a failure domain' ? entries.map(({ name }) => name) : [];
  await Promise.all([...vmIds, ...nodeNames].map((vmId) => fleet.reclaim(vmId, { noticeMs })));
}

function valuesOf(
  answers: readonly AnswerTiming[],
  counters: ReadonlyMap<string, number>,
): Readonly<Record<string, number>> {
  const openAtWave = answers.filter(
    ({ request, elapsedMs }) =>
      request.atMs <= WAVE_AT_MS && request.atMs + elapsedMs >= WAVE_AT_MS,
  );
  const longestGaps = openAtWave.map(({ gapsMs }) => Math.max(0, ...gapsMs));
  const sumCounters = (text: string): number =>
    [...counters]
      .filter(([name]) => name.includes(text))
      .reduce((sum, [, value]) => sum + value, 0);
  const recomputed = sumCounters('tokens_recomputed');
  return {
    requests: answers.length,
    lost: answers.filter(({ outcome }) => outcome !== 'done').length,
    open: openAtWave.length,
    recomputed,
    byReclaim: sumCounters('tokens_recomputed_total{cause="reclaim"'),
    byFailure: sumCounters('tokens_recomputed_total{cause="failure"'),
    byOther:
      recomputed -
      sumCounters('tokens_recomputed_total{cause="reclaim"') -
      sumCounters('tokens_recomputed_total{cause="failure"'),
    recomputeChoices: sumCounters('reclaim_choices_total{action="recompute"'),
    moveChoices: sumCounters('reclaim_choices_total{action="move-kv"'),
    gapP50: percentile(longestGaps, 0.5),
    gapP95: percentile(longestGaps, 0.95),
    gapMax: Math.max(...longestGaps),
    elapsedP95: percentile(
      openAtWave.map(({ elapsedMs }) => elapsedMs),
      0.95,
    ),
  };
}

/** Reclaims a wave of VMs while long streams run; the platform has no capacity for replacements. */
export async function runReclaim(run: ReclaimRun): Promise<Readonly<Record<string, number>>> {
  const planned: readonly PlannedRequest[] = planLongStreams({
    ...{ seed: run.seed, rate: RATE, durationMs: ARRIVALS_MS, tenant: TENANT.tenant },
  });
  const options = {
    seed: run.seed,
    tenants: [TENANT],
    platform: { capacity: 0 },
    settings: { membership: MEMBERSHIP, runners: { reclaimPolicy: run.policy } },
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
      seed: run.seed,
      patienceMs: RETRY_WINDOW_MS,
    });
    await sleep(WAVE_AT_MS);
    await reclaimWave(fleet, run);
    const readFinalCounters = pollCounters(fleet);
    const answers = await replaying;
    return valuesOf(answers, await readFinalCounters());
  });
}
