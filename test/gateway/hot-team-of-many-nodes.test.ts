import test from 'ava';
import { SharedQuota } from '@ragwortrudder/admission';
import { ManualClock, SeededRandom } from '@ragwortrudder/core';
import { toleratedLimit } from '../../packages/gateway/src/utils/tolerated-limit.ts';

const DOMAINS = 3;
const NODES_PER_DOMAIN = 21;
const NODE_COUNT = DOMAINS * NODES_PER_DOMAIN;
/** Interval at which a node of a large failure domain reports, and a relay sends its digest. */
const REPORT_MS = 520;
const STEP_MS = 10;
const WINDOW_MS = 8_000;
const DURATION_MS = 3 * WINDOW_MS;
const LIMIT = {
  perSecond: 450_000,
  burst: 450_000,
  unit: 'tokens',
  plainTokens: 200,
} as const;
const TOLERANCE = { overage: 0.1, slack: 140_000 };
/** Time that nodes need after they have all started until they hear of each other's use. */
const DEAF_MS = 1_500;
const MEAN_SIZE = 7_430;

/** Tokens of a random request: most are short, a few are very long. */
function sizeOf(random: SeededRandom): number {
  const draw = random.next();
  if (draw < 0.7) return 2_400;
  return draw < 0.95 ? 12_000 : 55_000;
}

interface Start {
  readonly clock: ManualClock;
  readonly random: SeededRandom;
  /** Length of the windows of the limits, for a node that does not know what was used before. */
  readonly windowMs: number;
}

/** Node that learns what the others have used from the digests of the failure domains. */
class DigestNode {
  readonly quota: SharedQuota;
  readonly domain: number;
  readonly phaseMs: number;
  /** Use that its relay has heard of. */
  reported = 0;
  readonly #applied: number[] = Array.from({ length: DOMAINS }, () => 0);
  #ownApplied = 0;

  constructor(index: number, { clock, random, windowMs }: Start) {
    this.domain = index % DOMAINS;
    this.phaseMs = Math.floor((random.next() * REPORT_MS) / STEP_MS) * STEP_MS;
    this.quota = new SharedQuota(clock, {
      windowMs,
      delayMs: () => 2 * REPORT_MS,
      nodeCount: () => NODE_COUNT,
    });
    this.quota.setLimits(new Map([['team', toleratedLimit(LIMIT, TOLERANCE)]]));
  }

  get taken(): number {
    return this.quota.taken.get('team') ?? 0;
  }

  apply(domain: number, total: number): void {
    const own = domain === this.domain ? this.reported - this.#ownApplied : 0;
    this.quota.recordPeerUsage('team', total - (this.#applied[domain] ?? 0) - own);
    this.#applied[domain] = total;
    if (domain === this.domain) this.#ownApplied = this.reported;
  }
}

interface Load {
  readonly seed: number;
  /** What a team asks for, as a multiple of its rate. */
  readonly demand: number;
  /** @default all */
  readonly askedNodes?: number;
  /** When all nodes start again at once. */
  readonly restartAt?: number;
}

/** Tokens that all nodes together admit in each step, and those that they are asked for. */
function admittedTokens({ seed, demand, askedNodes = NODE_COUNT, restartAt }: Load): {
  readonly admitted: readonly number[];
  readonly asked: number;
} {
  const clock = new ManualClock();
  const random = new SeededRandom(seed);
  const start = (windowMs: number): readonly DigestNode[] =>
    Array.from(
      { length: NODE_COUNT },
      (_, index) => new DigestNode(index, { clock, random, windowMs }),
    );
  let nodes = start(0);
  const digestPhases = [0, 170, 350];
  const requestsPerStep = (demand * LIMIT.perSecond * STEP_MS) / 1_000 / MEAN_SIZE;
  const admitted: number[] = [];
  let asked = 0;
  const isDeaf = (at: number): boolean =>
    restartAt !== undefined && at >= restartAt && at < restartAt + DEAF_MS;
  for (let at = 0; at < DURATION_MS; at += STEP_MS) {
    if (at === restartAt) nodes = start(WINDOW_MS);
    let sum = 0;
    let requests = Math.floor(requestsPerStep + random.next());
    for (; requests > 0; requests -= 1) {
      const size = sizeOf(random);
      asked += size;
      const node = nodes[Math.floor(random.next() * askedNodes)];
      if (node?.quota.tryTake('team', size)) sum += size;
    }
    admitted.push(sum);
    for (const node of nodes) if (at % REPORT_MS === node.phaseMs) node.reported = node.taken;
    for (const [domain, phaseMs] of digestPhases.entries()) {
      if (at % REPORT_MS !== phaseMs || isDeaf(at)) continue;
      const total = nodes
        .filter((node) => node.domain === domain)
        .reduce((total, { reported }) => total + reported, 0);
      for (const node of nodes) node.apply(domain, total);
    }
    clock.advance(STEP_MS);
  }
  return { admitted, asked };
}

function maxInWindow(admitted: readonly number[]): number {
  const steps = WINDOW_MS / STEP_MS;
  let sum = 0;
  let max = 0;
  for (const [index, tokens] of admitted.entries()) {
    sum += tokens - (admitted[index - steps] ?? 0);
    max = Math.max(max, sum);
  }
  return max;
}

const ENTITLED = (LIMIT.perSecond * WINDOW_MS) / 1_000 + LIMIT.burst;
const TOLERATED = ENTITLED * (1 + TOLERANCE.overage) + TOLERANCE.slack;

// Guards against many nodes that all admit a hot team's requests until they hear of each other (QUOTA).
for (const demand of [1.5, 3, 6]) {
  test(`pattern: hot team on many nodes that asks for ${demand} times its limit; all nodes together stay within the tolerated limit`, (t) => {
    for (let seed = 1; seed <= 10; seed += 1) {
      const max = maxInWindow(admittedTokens({ seed, demand }).admitted);
      t.true(max <= TOLERATED, `seed ${seed}: ${max} of ${TOLERATED}`);
      t.true(max >= ENTITLED * 0.9, `seed ${seed}: ${max} of ${ENTITLED}`);
    }
  });
}

// Guards against many nodes that all start again and do not know of each other's use yet (QUOTA).
for (const demand of [1.5, 3, 6]) {
  test(`pattern: hot team on many nodes that all start again at once and are asked for ${demand} times its limit; all nodes together stay within the tolerated limit`, (t) => {
    for (let seed = 1; seed <= 10; seed += 1) {
      const { admitted } = admittedTokens({ seed, demand, restartAt: WINDOW_MS });
      const max = maxInWindow(admitted);
      t.true(max <= TOLERATED, `seed ${seed}: ${max} of ${TOLERATED}`);
      const after = maxInWindow(admitted.slice((2 * WINDOW_MS) / STEP_MS));
      t.true(after >= ENTITLED * 0.8, `seed ${seed}: ${after} of ${ENTITLED}`);
    }
  });
}

// Guards against nodes that set limits aside for nodes which nobody asks.
test('pattern: hot team that asks few of many nodes; it gets its limit', (t) => {
  for (let seed = 1; seed <= 10; seed += 1) {
    const max = maxInWindow(admittedTokens({ seed, demand: 3, askedNodes: 6 }).admitted);
    t.true(max <= TOLERATED, `seed ${seed}: ${max} of ${TOLERATED}`);
    t.true(max >= ENTITLED * 0.9, `seed ${seed}: ${max} of ${ENTITLED}`);
  }
});

test('pattern: team within its limit on many nodes; it is hardly refused anything', (t) => {
  for (let seed = 1; seed <= 10; seed += 1) {
    const { admitted, asked } = admittedTokens({ seed, demand: 0.6 });
    const sum = admitted.reduce((total, tokens) => total + tokens, 0);
    t.true(sum >= asked * 0.95, `seed ${seed}: ${sum} of ${asked}`);
  }
});
