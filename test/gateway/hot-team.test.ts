import test from 'ava';
import { SharedQuota } from '@ragwortrudder/admission';
import { ManualClock, SeededRandom } from '@ragwortrudder/core';
import { toleratedLimit } from '../../packages/gateway/src/utils/tolerated-limit.ts';

const NODES = 9;
const REPORT_MS = 200;
const STEP_MS = 10;
const WINDOW_STEPS = 8_000 / STEP_MS;
const LIMIT = { perSecond: 60_000, burst: 200_000, unit: 'tokens', plainTokens: 200 } as const;
const TOLERANCE = { overage: 0.1, slack: 140_000 };
/** Requests per second of a team that runs at several times its limit. */
const REQUESTS_PER_S = 60;

/** Tokens of a random request: most are short, a few are very long. */
function sizeOf(random: SeededRandom): number {
  const draw = random.next();
  if (draw < 0.7) return 2_400;
  return draw < 0.95 ? 12_000 : 55_000;
}

/** Maximum number of tokens that all nodes together admit in any eight seconds. */
function maxAdmittedTokens(seed: number): number {
  const clock = new ManualClock();
  const random = new SeededRandom(seed);
  const quotas = Array.from({ length: NODES }, () => {
    const quota = new SharedQuota(clock);
    quota.setLimits(new Map([['team', toleratedLimit(LIMIT, TOLERANCE)]]));
    return quota;
  });
  const reported = quotas.map(() => 0);
  const admitted: number[] = [];
  for (let step = 0; step < 3 * WINDOW_STEPS; step += 1) {
    let sum = 0;
    if (random.next() < (REQUESTS_PER_S * STEP_MS) / 1_000) {
      const size = sizeOf(random);
      const quota = quotas[Math.floor(random.next() * NODES)];
      if (quota?.tryTake('team', size)) sum = size;
    }
    admitted.push(sum);
    for (const [index, quota] of quotas.entries()) {
      if ((step * STEP_MS + index * 20) % REPORT_MS !== 0) continue;
      const total = quota.taken.get('team') ?? 0;
      for (const other of quotas) {
        if (other !== quota) other.recordPeerUsage('team', total - (reported[index] ?? 0));
      }
      reported[index] = total;
    }
    clock.advance(STEP_MS);
  }
  let maxAdmitted = 0;
  for (let start = 0; start + WINDOW_STEPS <= admitted.length; start += 1) {
    maxAdmitted = Math.max(
      maxAdmitted,
      admitted.slice(start, start + WINDOW_STEPS).reduce((a, b) => a + b, 0),
    );
  }
  return maxAdmitted;
}

test('pattern: hot team with a few very long requests; all nodes together stay within the tolerated limit', (t) => {
  const entitled = LIMIT.perSecond * 8 + LIMIT.burst;
  const tolerated = entitled * (1 + TOLERANCE.overage) + TOLERANCE.slack;
  for (let seed = 1; seed <= 300; seed += 1) {
    const maxAdmitted = maxAdmittedTokens(seed);
    t.true(maxAdmitted <= tolerated, `seed ${seed}: ${maxAdmitted} of ${tolerated}`);
    t.true(maxAdmitted >= entitled * 0.8, `seed ${seed}: ${maxAdmitted} of ${entitled}`);
  }
});
