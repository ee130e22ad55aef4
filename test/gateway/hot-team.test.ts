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
/** Requests a second of a team at several times its limit. */
const REQUESTS_PER_S = 60;

/** Tokens of a request: most are short, a few are very long. */
function sizeOf(random: SeededRandom): number {
  const draw = random.next();
  if (draw < 0.7) return 2_400;
  return draw < 0.95 ? 12_000 : 55_000;
}

/** Most tokens that all nodes together let in within eight seconds. */
function mostAdmitted(seed: number): number {
  const clock = new ManualClock();
  const random = new SeededRandom(seed);
  const quotas = Array.from({ length: NODES }, () => {
    const quota = new SharedQuota(clock);
    quota.setLimits(new Map([['team', toleratedLimit(LIMIT, TOLERANCE)]]));
    return quota;
  });
  const told = quotas.map(() => 0);
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
        if (other !== quota) other.takenByPeer('team', total - (told[index] ?? 0));
      }
      told[index] = total;
    }
    clock.advance(STEP_MS);
  }
  let most = 0;
  for (let start = 0; start + WINDOW_STEPS <= admitted.length; start += 1) {
    most = Math.max(
      most,
      admitted.slice(start, start + WINDOW_STEPS).reduce((a, b) => a + b, 0),
    );
  }
  return most;
}

test('pattern: hot team with a few very long requests; all nodes together keep to what is tolerated', (t) => {
  const owed = LIMIT.perSecond * 8 + LIMIT.burst;
  const allowed = owed * (1 + TOLERANCE.overage) + TOLERANCE.slack;
  for (let seed = 1; seed <= 300; seed += 1) {
    const most = mostAdmitted(seed);
    t.true(most <= allowed, `seed ${seed}: ${most} of ${allowed}`);
    t.true(most >= owed * 0.8, `seed ${seed}: ${most} of ${owed}`);
  }
});
