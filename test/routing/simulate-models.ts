import { SeededRandom } from '@ragwortrudder/core';
import { CacheDirectory, RunnerTracker, createRoutingPolicy } from '@ragwortrudder/routing';
import type { CacheEvent, LoadReport, PolicyName } from '@ragwortrudder/routing';
import { SimulatedEngine } from './simulated-engine.ts';
import type { EngineJob } from './simulated-engine.ts';

const NODES = 7;
const ENGINES = 6;
const TENANT_SESSIONS: readonly number[] = [24, 16, 8, 4, 4];
const TENANT_BLOCKS = 32;
const BLOCK_TOKENS = 16;
const MAX_TURNS = 20;
const CACHE_BLOCKS = 2000;
const DURATION_MS = 60_000;
const WARM_UP_MS = 10_000;
const POLL_MS = 500;
const TARGET_MS = 530;

/** Conditions of a simulated run. */
export interface Conditions {
  readonly requestsPerSecond: number;
  /** Age of load reports when they are received, in milliseconds. */
  readonly reportLagMs: number;
  /** Age of cache events when they are received, in milliseconds; `Infinity` without events. */
  readonly eventLagMs: number;
  /** Fraction of the batches of cache events in which an event is lost. */
  readonly eventLoss: number;
  readonly seed: number;
}

/** Outcome of a simulated run. */
export interface ModelResult {
  readonly p50Ms: number;
  readonly p95Ms: number;
  readonly p99Ms: number;
  readonly withinTarget: number;
  /**
   * Mean number of tokens computed per request in addition to those that were new to the session.
   */
  readonly recomputed: number;
}

interface Timestamped<T> {
  readonly at: number;
  readonly item: T;
}

interface Session {
  readonly name: string;
  readonly tenant: number;
  readonly turns: number;
}

/** Simulates sessions with growing prompts on engines with prefix caches. */
export function simulateModels(name: PolicyName, conditions: Conditions): ModelResult {
  const random = new SeededRandom(conditions.seed);
  const routingRandom = new SeededRandom(conditions.seed + 1);
  const engines = Array.from({ length: ENGINES }, () => new SimulatedEngine(CACHE_BLOCKS));
  const identity = { failureDomain: 'a', service: 's', version: 'v', kind: 'model' } as const;
  const nodes = Array.from({ length: NODES }, () => {
    const cache = new CacheDirectory();
    const trackers = engines.map((_, i) => {
      const id = String(i);
      const tracker = new RunnerTracker({ ...identity, id, endpoint: id });
      tracker.setState('ready');
      cache.set(id, tracker.cache);
      return tracker;
    });
    return { policy: createRoutingPolicy(name), cache, trackers };
  });
  const sessions: Session[] = TENANT_SESSIONS.flatMap((count, tenant) =>
    Array.from({ length: count }, (_, i) => ({
      name: `${tenant}-${i}-`,
      tenant,
      turns: Math.floor(random.next() * MAX_TURNS),
    })),
  );
  const loadReports: Timestamped<readonly LoadReport[]>[] = [];
  const eventCounts: Timestamped<readonly number[]>[] = [];
  const firstTokenTimes: number[] = [];
  let recomputed = 0;
  let sent = 0;

  function deliverReports(now: number, node: (typeof nodes)[number]): void {
    const latestLoadReports = loadReports.findLast(({ at }) => at <= now - conditions.reportLagMs);
    const latestEventCounts = eventCounts.findLast(({ at }) => at <= now - conditions.eventLagMs);
    for (const [i, tracker] of node.trackers.entries()) {
      const report = latestLoadReports?.item[i];
      if (report) tracker.applyReport(report, latestLoadReports.at);
      const events: readonly CacheEvent[] = engines[i]?.events ?? [];
      const end = latestEventCounts?.item[i] ?? 0;
      if (tracker.cache.needsSnapshot) {
        tracker.cache.restore({
          seq: events.length,
          prefixes: [...(engines[i]?.cache.keys() ?? [])],
        });
        continue;
      }
      const isLost = random.next() < conditions.eventLoss;
      const from = tracker.cache.seq + (isLost ? 1 : 0);
      tracker.cache.apply(events.slice(from, end), now);
    }
  }

  function generateRequest(now: number): void {
    const sessionIndex = Math.floor(random.next() * sessions.length);
    const session = sessions[sessionIndex] ?? { name: '', tenant: 0, turns: 0 };
    const isShort = random.next() < 0.3;
    const ownBlocks = isShort ? 4 : 6 * (session.turns + 1);
    const prefix = `${session.name}${isShort ? `q${sent}-` : ''}`;
    const blocks = [
      ...Array.from({ length: TENANT_BLOCKS }, (_, i) => `t${session.tenant}-${i}`),
      ...Array.from({ length: ownBlocks }, (_, i) => `${prefix}${i}`),
    ];
    const node = Math.floor(random.next() * NODES);
    const answerTokens = 32 + Math.floor(random.next() * 64);
    const promptTokens = blocks.length * BLOCK_TOKENS;
    const newTokens = (isShort ? 4 : 6) * BLOCK_TOKENS;
    const id = String(sent);
    const job = { id, node, blocks, promptTokens, newTokens, answerTokens, sentAt: now };
    sent += 1;
    if (!isShort) {
      const isSessionOver = session.turns + 1 >= MAX_TURNS;
      sessions[sessionIndex] = isSessionOver
        ? { ...session, name: `${session.tenant}-${sent}x-`, turns: 0 }
        : { ...session, turns: session.turns + 1 };
    }
    routeRequest(job, now);
  }

  function routeRequest(job: EngineJob, now: number): void {
    const node = nodes[job.node];
    const candidates = node ? node.trackers.map((tracker) => tracker.view(now)) : [];
    const request = {
      id: job.id,
      service: 's',
      blocks: job.blocks,
      promptTokens: job.promptTokens,
    };
    const choice = node?.policy.choose({
      candidates,
      request,
      random: routingRandom,
      cache: node.cache,
    });
    const target = Number(choice?.runner.id ?? 0);
    node?.trackers[target]?.recordSent(request, now);
    engines[target]?.add(job);
  }

  for (let now = 0; now < DURATION_MS; now += 1) {
    if (random.next() < conditions.requestsPerSecond / 1000) generateRequest(now);
    for (const [i, engine] of engines.entries()) {
      for (const { kind, job, cachedTokens } of engine.step(now)) {
        const tracker = nodes[job.node]?.trackers[i];
        if (kind === 'start') {
          tracker?.recordStart(job.id, cachedTokens, job.promptTokens - cachedTokens, now);
        } else if (kind === 'first') {
          tracker?.recordFirstToken(job.id, now);
          if (job.sentAt < WARM_UP_MS) continue;
          firstTokenTimes.push(now - job.sentAt);
          recomputed += Math.max(0, job.promptTokens - cachedTokens - job.newTokens);
        } else {
          tracker?.recordEnd(job.id, true, now);
        }
      }
    }
    if (now % 50 === 0) {
      loadReports.push({ at: now, item: engines.map((engine) => engine.load) });
      eventCounts.push({ at: now, item: engines.map((engine) => engine.events.length) });
    }
    for (const [i, node] of nodes.entries()) {
      if ((now + i * 71) % POLL_MS === 0) deliverReports(now, node);
    }
  }
  firstTokenTimes.sort((a, b) => a - b);
  const quantile = (q: number): number =>
    firstTokenTimes[Math.floor(q * firstTokenTimes.length)] ?? NaN;
  return {
    p50Ms: quantile(0.5),
    p95Ms: quantile(0.95),
    p99Ms: quantile(0.99),
    withinTarget:
      firstTokenTimes.filter((wait) => wait <= TARGET_MS).length / firstTokenTimes.length,
    recomputed: Math.round(recomputed / firstTokenTimes.length),
  };
}
