import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { SeededRandom } from '@ragwortrudder/core';
import type { Random } from '@ragwortrudder/core';
import { CutFleet } from './cut-fleet.ts';
import type { GatewayHarness } from './gateway-harness.ts';
import { limitConcurrency } from './limit-concurrency.ts';
import { ROUTE_KINDS } from './route-kinds.ts';
import type { ReceivedRequest } from './scripted-runner.ts';
import { SlowCaller } from './slow-caller.ts';
import { SteadyRunner } from './steady-runner.ts';

interface Fleet {
  readonly fleet: CutFleet;
  readonly runners: readonly SteadyRunner[];
  readonly random: Random;
}

interface SentRequest {
  readonly id: string;
  /** Number of requests before it on its connection. */
  readonly index: number;
  readonly kind: string;
  readonly caller: SlowCaller;
}

interface ConnectionUse {
  /** Begin of the ids of the requests. */
  readonly prefix: string;
  readonly onSend: (request: SentRequest) => void;
}

const OK = 200;
const EVENTS = 5;
const PLAY_MS = 6_000;
const SILENCE_MS = 1_400;
/** A connection may close as a request arrives; one that was sent this long before was read. */
const CROSSING_MS = 500;
const CONNECTION_PERIOD_MS = 60;
const MAX_STALL_MS = 700;
/** Time within which nodes hear each other and lose their links, in milliseconds. */
const HEARING_MS = 800;
const SEEDS = [1, 2] as const;
/** Answers that say that a request has not run. */
const NOT_RUN: ReadonlySet<number> = new Set([401, 404, 408, 413, 429, 431, 503]);
const TEST_TIMEOUT_MS = 60_000;
const takeTurn = limitConcurrency(2);
const LIMITS = {
  max_header_bytes: 8_192,
  max_body_bytes: 100_000,
  header_timeout_ms: 2_000,
  idle_timeout_ms: 5_000,
};
const SERVICE = { health_path: '/health', max_connections: 100 };
const TEAM = { name: 'team', api_keys: ['key'] };
const KINDS = Object.entries(ROUTE_KINDS);

function routesTo(service: string, change: object = {}): readonly object[] {
  return KINDS.map(([name, kind]) => ({
    name,
    host: 'a.example',
    path_prefix: `/${name}/`,
    timeout_ms: 8_000,
    target_latency_ms: 300,
    service,
    max_attempts: 3,
    ...kind,
    ...change,
  }));
}

const SOUND = {
  routes: routesTo('s'),
  services: [
    { name: 's', ...SERVICE },
    { name: 't', ...SERVICE },
  ],
  tenants: [TEAM],
  limits: LIMITS,
};

const CHANGES: readonly object[] = [
  SOUND,
  { ...SOUND, routes: routesTo('t') },
  { ...SOUND, routes: [] },
  { ...SOUND, services: [{ name: 't', ...SERVICE }] },
  { ...SOUND, services: [{ name: 's', ...SERVICE, max_connections: 4 }, SOUND.services[1]] },
  { ...SOUND, tenants: [{ name: 'other', api_keys: ['other'] }] },
  { ...SOUND, tenants: [{ name: 'moved', api_keys: ['key'] }] },
  { ...SOUND, tenants: [{ ...TEAM, rate_per_s: 2, burst: 2 }] },
  { ...SOUND, routes: routesTo('s', { timeout_ms: 6_000, max_attempts: 1 }) },
  { ...SOUND, limits: { ...LIMITS, idle_timeout_ms: 100 } },
  { ...SOUND, limits: { ...LIMITS, header_timeout_ms: 1_000, idle_timeout_ms: 300 } },
  { ...SOUND, limits: { ...LIMITS, max_body_bytes: 20 } },
];

function pick<T>(random: Random, items: readonly [T, ...T[]] | readonly T[]): T {
  const item = items[Math.floor(random.next() * items.length)];
  if (item === undefined) throw new TypeError('nothing to pick from');
  return item;
}

/** Sends one to three requests on a connection, one after the other or all at once. */
async function useConnection(
  port: number,
  random: Random,
  { prefix, onSend }: ConnectionUse,
): Promise<void> {
  const caller = new SlowCaller(port);
  const isPipelined = random.next() < 0.4;
  const count = 1 + Math.floor(random.next() * 3);
  for (let index = 0; index < count && !caller.isClosed; index += 1) {
    const [kind] = pick(random, KINDS);
    const id = `${prefix}-${index}`;
    onSend({ id, index, kind, caller });
    const pieces = Array.from({ length: 1 + Math.floor(random.next() * 5) }, () => 'piece ');
    await caller.send({
      id,
      path: `/${kind}/x`,
      pieces,
      pauseMs: random.next() < 0.3 ? 0 : 100 + random.next() * 200,
      isChunked: random.next() < 0.5,
      expectsContinue: random.next() < 0.3,
    });
    if (!isPipelined) {
      await caller.receive(index + 1);
      await sleep(random.next() * 400);
    }
  }
  await caller.receive(count);
  caller.destroy();
  await caller.closed;
}

/** Uses connections to gateways in turn until `until` settles; returns all requests that were sent. */
async function sendUntil(
  gateways: readonly GatewayHarness[],
  random: Random,
  until: Promise<void>,
): Promise<readonly SentRequest[]> {
  const done = new AbortController();
  void until.then(() => {
    done.abort();
  });
  const ports = gateways.map(({ gateway }) => gateway.ports.callers);
  const sent: SentRequest[] = [];
  const connections: Promise<void>[] = [];
  while (!done.signal.aborted) {
    const prefix = `c${connections.length}`;
    const port = ports[connections.length % ports.length] ?? 0;
    connections.push(
      useConnection(port, random, {
        prefix,
        onSend: (request) => {
          sent.push(request);
        },
      }),
    );
    await sleep(CONNECTION_PERIOD_MS);
  }
  await Promise.all(connections);
  return sent;
}

/** Why a request was not treated as promised; undefined if it was. */
function faultOf(
  { id, index, kind, caller }: SentRequest,
  runners: readonly SteadyRunner[],
): string | undefined {
  const runs = runners.reduce((sum, runner) => sum + (runner.runs.get(id) ?? 0), 0);
  if (kind === 'once-only' && runs > 1) return 'ran twice';
  const sentAt = caller.sentAt.get(id);
  if (sentAt === undefined) return runs > 0 ? 'ran before it was sent' : undefined;
  const response = caller.responses[index];
  if (!response) {
    if (runs > 0) return 'ran without an answer';
    const isCrossing = (caller.closedAt ?? Infinity) - sentAt < CROSSING_MS;
    return isCrossing ? undefined : 'neither answered nor refused';
  }
  // The refusal of a request that could not be read has no id.
  if (response.id !== undefined && response.id !== id) return `answered for ${response.id}`;
  if (!response.isComplete) return `cut after status ${response.status}`;
  if (kind === 'once-only' && NOT_RUN.has(response.status) && runs > 0) {
    return `ran although it was told ${response.status}`;
  }
  return response.status === OK || NOT_RUN.has(response.status)
    ? undefined
    : `status ${response.status}`;
}

function assertKept(
  t: ExecutionContext,
  sent: readonly SentRequest[],
  { fleet, runners }: Fleet,
): void {
  const faults = sent.flatMap((request) => {
    const fault = faultOf(request, runners);
    return fault === undefined ? [] : [`${request.kind} ${request.id}: ${fault}`];
  });
  const lines = fleet.gateways.flatMap((gateway) => gateway.lines);
  for (const fault of faults) {
    const id = /(c\d+-\d+):/.exec(fault)?.[1] ?? '';
    t.log(fault, lines.filter((line) => line.includes(`"request":"${id}"`)).join(''));
  }
  t.deepEqual(faults, []);
  const statuses = sent.map(({ index, caller }) => caller.responses[index]?.status);
  const served = statuses.filter((status) => status === OK).length;
  t.log(`${sent.length} requests, ${served} served`);
  t.true(served > 0);
}

async function start(t: ExecutionContext, seed: number): Promise<Fleet> {
  await takeTurn(t);
  t.timeout(TEST_TIMEOUT_MS);
  const events = ({ head }: ReceivedRequest): number => (head.includes('/stream/') ? EVENTS : 0);
  const options = { events, latencyMs: 120, eventIntervalMs: 100 };
  const runners = await Promise.all([0, 1, 2, 3].map(() => new SteadyRunner(options).listen()));
  const fleet = await CutFleet.start(t, { runners, gateways: 3 });
  t.teardown(() => Promise.all(runners.map((runner) => runner.close())));
  const [gateway] = fleet.gateways;
  for (const index of [2, 3]) {
    await gateway?.registerRunner(`r${index}`, runners[index]?.port ?? 0, { service: 't' });
  }
  await gateway?.configure({ ...SOUND, version: 2 });
  await sleep(HEARING_MS);
  return { fleet, runners, random: new SeededRandom(seed) };
}

interface Disturbances {
  /** Time between two changes of the configuration, in milliseconds. */
  readonly periodMs: number;
  /** Silences all runners. */
  readonly isSilent: boolean;
  readonly reloads: boolean;
  readonly stops: boolean;
  /** One node has no links to the runners. */
  readonly cutsLinks: boolean;
  /** The process is held up, with the nodes and their callers. */
  readonly stalls: boolean;
}

/** Holds the process up. */
function block(ms: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
}

async function disturb(
  { fleet, runners, random }: Fleet,
  { periodMs, isSilent, reloads, stops, cutsLinks, stalls }: Disturbances,
): Promise<void> {
  const [first, second] = fleet.gateways;
  if (!first || !second) throw new TypeError('no gateway was started');
  if (cutsLinks) await fleet.setLinks([2], 'cut');
  const endAt = performance.now() + PLAY_MS;
  let version = 2;
  let silence: Promise<unknown> = Promise.resolve();
  let isStopped = false;
  for (let count = 1; performance.now() < endAt; count += 1) {
    version += 1;
    // Every second configuration is the sound one, so that requests are admitted.
    const change = count % 2 === 0 ? SOUND : pick(random, CHANGES);
    await first.configure({ ...change, version });
    if (isSilent && count % Math.ceil(2_500 / periodMs) === 1) {
      silence = Promise.all(runners.map((runner) => runner.fallSilent(SILENCE_MS)));
    }
    if (reloads && random.next() < 0.5) {
      const settings = {
        ...first.settings,
        retries: { ratio: 0.2, slack: 500 + count, windowMs: 10_000 },
      };
      first.gateway.reload(settings);
    }
    if (stops && !isStopped && performance.now() > endAt - PLAY_MS / 2) {
      isStopped = true;
      void second.gateway.stop();
    }
    if (stalls && random.next() < 0.3) block(MAX_STALL_MS * random.next());
    await sleep(periodMs * (0.5 + random.next()));
  }
  await first.configure({ ...SOUND, version: version + 1 });
  await silence;
  if (stops) await second.gateway.closed();
}

const PLAYS: Readonly<Record<string, Disturbances>> = {
  'changes and stalls': {
    periodMs: 200,
    isSilent: false,
    reloads: true,
    stops: false,
    cutsLinks: false,
    stalls: true,
  },
  'changes, stalls and a node without links': {
    periodMs: 200,
    isSilent: false,
    reloads: true,
    stops: false,
    cutsLinks: true,
    stalls: true,
  },
  changes: {
    periodMs: 400,
    isSilent: false,
    reloads: false,
    stops: false,
    cutsLinks: false,
    stalls: false,
  },
  'changes and silences': {
    periodMs: 400,
    isSilent: true,
    reloads: false,
    stops: false,
    cutsLinks: false,
    stalls: false,
  },
  'changes and reloads within 50 ms': {
    periodMs: 40,
    isSilent: true,
    reloads: true,
    stops: false,
    cutsLinks: false,
    stalls: false,
  },
  'changes, reloads and a stop': {
    periodMs: 200,
    isSilent: true,
    reloads: true,
    stops: true,
    cutsLinks: false,
    stalls: false,
  },
  'changes, silences and a node without links': {
    periodMs: 300,
    isSilent: true,
    reloads: true,
    stops: false,
    cutsLinks: true,
    stalls: false,
  },
  'changes, a stop and a node without links': {
    periodMs: 150,
    isSilent: true,
    reloads: true,
    stops: true,
    cutsLinks: true,
    stalls: false,
  },
};

for (const [name, disturbances] of Object.entries(PLAYS)) {
  for (const seed of SEEDS) {
    // A stall would hold up other tests of the process, too.
    const declare = disturbances.stalls ? test.serial : test;
    // Guards against whole requests that get neither an answer nor a refusal beside a change (LOST).
    declare(
      `pattern: slow bodies beside ${name}; each request is answered or refused (seed ${seed})`,
      async (t) => {
        const started = await start(t, seed);
        const { fleet, random } = started;
        const sent = await sendUntil(fleet.gateways, random, disturb(started, disturbances));
        assertKept(t, sent, started);
      },
    );
  }
}
