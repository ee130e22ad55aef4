import { SeededRandom } from '@ragwortrudder/core';
import { RunnerTracker, createRoutingPolicy } from '@ragwortrudder/routing';
import type { PolicyName } from '@ragwortrudder/routing';

const NODES = 9;
const RUNNERS = 6;
const SLOTS = 4;
const SERVICE_MS = 20;
const LOAD = 0.8;
const DURATION_MS = 20_000;
const RESTART_PERIOD_MS = 2000;

interface Job {
  readonly id: string;
  readonly node: number;
  readonly sentAt: number;
  readonly endsAt: number;
}

/** Outcome of a simulated run. */
export interface ApplicationResult {
  readonly p50Ms: number;
  readonly p99Ms: number;
  /** Maximum number of requests at one runner. */
  readonly peak: number;
}

/**
 * Simulates nodes that route requests to application runners and receive load reports every
 * `reportMs`. Every two seconds one runner is restarted without requests, so that it appears idle
 * to all nodes at the same time. Another runner is slower than the rest by the factor `slowness`.
 */
export function simulateApplications(
  name: PolicyName,
  reportMs: number,
  seed: number,
  slowness = 1,
): ApplicationResult {
  const random = new SeededRandom(seed);
  const identity = { failureDomain: 'a', service: 's', version: 'v', kind: 'application' } as const;
  const ids = Array.from({ length: RUNNERS }, (_, i) => String(i));
  const nodes = Array.from({ length: NODES }, () => ({
    policy: createRoutingPolicy(name),
    trackers: ids.map((id) => new RunnerTracker({ ...identity, id, endpoint: id })),
  }));
  for (const { trackers } of nodes) for (const tracker of trackers) tracker.setState('ready');
  let queues: readonly (readonly Job[])[] = ids.map(() => []);
  const latencies: number[] = [];
  let peak = 0;
  let sent = 0;
  for (let now = 0; now < DURATION_MS; now += 1) {
    queues = queues.map((queue, runner) => {
      for (const job of queue.filter(({ endsAt }) => endsAt <= now)) {
        nodes[job.node]?.trackers[runner]?.recordEnd(job.id, true, now);
        latencies.push(now - job.sentAt);
      }
      const remaining = queue.filter(({ endsAt }) => endsAt > now);
      const isRestarted = now % RESTART_PERIOD_MS === 0 && runner === 0;
      if (!isRestarted) return remaining;
      for (const job of remaining)
        nodes[job.node]?.trackers.at(runner)?.recordEnd(job.id, false, now);
      return [];
    });
    for (const [nodeIndex, node] of nodes.entries()) {
      if ((now + nodeIndex * 37) % reportMs !== 0) continue;
      for (const [runner, tracker] of node.trackers.entries()) {
        const size = queues[runner]?.length ?? 0;
        const running = Math.min(SLOTS, size);
        tracker.applyReport({ running, waiting: size - running, leaving: false }, now);
      }
    }
    const arrivals = random.next() < (LOAD * RUNNERS * SLOTS) / SERVICE_MS / 2 ? 2 : 0;
    for (let n = 0; n < arrivals; n += 1) {
      const nodeIndex = Math.floor(random.next() * NODES);
      const node = nodes[nodeIndex];
      const candidates = node ? node.trackers.map((tracker) => tracker.view(now)) : [];
      const request = { id: String(sent), service: 's', blocks: [], promptTokens: 0 };
      const choice = node?.policy.choose({ candidates, request, random });
      const runner = Number(choice?.runner.id ?? 0);
      sent += 1;
      node?.trackers[runner]?.recordSent(request, now);
      const queue = queues[runner] ?? [];
      const startsAt = queue.length < SLOTS ? now : (queue[queue.length - SLOTS]?.endsAt ?? now);
      const factor = runner === 1 ? slowness : 1;
      const serviceMs = factor * SERVICE_MS * (0.5 + random.next());
      const job = { id: request.id, node: nodeIndex, sentAt: now, endsAt: startsAt + serviceMs };
      queues = queues.map((other, i) => (i === runner ? [...other, job] : other));
      peak = Math.max(peak, queue.length + 1);
    }
  }
  latencies.sort((a, b) => a - b);
  const quantile = (q: number): number => latencies[Math.floor(q * latencies.length)] ?? NaN;
  return { p50Ms: quantile(0.5), p99Ms: quantile(0.99), peak };
}
