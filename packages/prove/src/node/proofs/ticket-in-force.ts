import got from 'got';
import type { Proof } from '../../types/proof.ts';
import { proofFleet } from '../../utils/proof-fleet.ts';
import type { ProofEnvironment } from '../proof-environment.ts';

const DURATION_MS = 16_000;
const POLL_MS = 100;
const SUBMIT_PAUSE_MS = 250;
const BOUND_MS = 16_000;
const READ_TIMEOUT_MS = 1000;

/**
 * Tickets of two concurrent operators during a log outage, network partitions, node replacement and
 * the expiry of log records.
 */
export const ticketInForce: Proof = {
  promise: 8,
  name: 'ticket-in-force',
  checkers: ['ticket-in-force'],
  bounds: { ticketInForceMs: BOUND_MS },
  fleet: proofFleet({
    relays: true,
    runners: [{ service: 'stock', version: 'v1', kind: 'application', count: 1 }],
    platform: { retention: { count: 30 } },
    settings: { log: { pollWaitMs: 1000, snapshotEvery: 10 } },
  }),
  async run(environment) {
    const abortController = new AbortController();
    const polling = pollNodes(environment, abortController.signal);
    await Promise.all([submitTickets(environment), injectFaults(environment)]);
    await replaceAllNodes(environment);
    await environment.pause(BOUND_MS + 1000);
    abortController.abort();
    await polling;
    // The checker considers a node only if the history extends beyond its bound.
    environment.record({ type: 'stop', target: 'run', planned: true, phase: 'end' });
  },
};

/** Two operators concurrently submit conflicting tickets, both based on the newest accepted one. */
async function submitTickets(environment: ProofEnvironment): Promise<void> {
  const endsAt = performance.now() + DURATION_MS;
  let next = 2;
  while (performance.now() < endsAt) {
    const against = environment.newestTicket;
    const numbers = [next, next + 1];
    next += 2;
    const nodes = environment.fleet.entries.map(({ name }) => name);
    await Promise.all(
      numbers.map((number) => {
        const tenants = { novak: { weight: number, maxConcurrent: 1000, maxQueued: 1000 } };
        const ticket = { number, against, tenants };
        return environment
          .submitNumbered(ticket, nodes[number % nodes.length])
          .catch(() => 'unanswered');
      }),
    );
    await environment.pause(SUBMIT_PAUSE_MS);
  }
}

async function injectFaults(environment: ProofEnvironment): Promise<void> {
  const { fleet } = environment;
  const [first, second] = fleet.entries
    .map(({ name }) => name)
    .sort(() => environment.random.next() - 0.5);
  if (!first || !second) return;
  await environment.pause(2000);
  const domain = fleet.member(first).failureDomain;
  environment.fault('cut from platform', first, 'start');
  await fleet.linkFault({ from: [first], to: ['platform'] }, 'cut');
  await environment.pause(2500);
  environment.fault('kill', second);
  await fleet.kill(second);
  environment.fault('log down', 'platform');
  await fleet.platformFault({ target: 'log.read', mode: 'down' });
  const { failureDomain } = fleet.member(second);
  environment.record({ type: 'start', target: second, role: 'node', failureDomain });
  await fleet.restart(second).catch(() => undefined);
  await environment.pause(2500);
  await fleet.platformFault({ target: 'log.read', mode: 'ok' });
  await fleet.linkFault({ from: [first], to: ['platform'] }, 'open');
  environment.fault('cut from platform', first, 'end');
  environment.fault('cut', domain, 'start');
  await fleet.cutFailureDomain(domain);
  await environment.pause(2500);
  await fleet.cutFailureDomain(domain, 'open');
  environment.fault('cut', domain, 'end');
}

/** Replaces all nodes at once, so that the configuration survives only in the log. */
async function replaceAllNodes(environment: ProofEnvironment): Promise<void> {
  const { fleet } = environment;
  environment.fault('kill', 'all nodes');
  await Promise.all(fleet.entries.map(({ name }) => fleet.kill(name)));
  for (const { name, failureDomain } of fleet.entries) {
    environment.record({ type: 'start', target: name, role: 'node', failureDomain });
  }
  await Promise.all(fleet.entries.map(({ name }) => fleet.restart(name).catch(() => undefined)));
}

/** Polls all nodes and records each ticket that a node reports as in force. */
async function pollNodes(environment: ProofEnvironment, signal: AbortSignal): Promise<void> {
  const newestByIncarnation = new Map<string, number>();
  while (!signal.aborted) {
    await Promise.all(
      environment.fleet.entries.map(({ name, address }) =>
        pollNode(environment, newestByIncarnation, { name, address }),
      ),
    );
    await environment.pause(POLL_MS);
  }
}

interface PolledNode {
  readonly name: string;
  readonly address: string;
}

interface NodeStatus {
  readonly node: { readonly incarnation: number; readonly state: string };
  readonly log: { readonly newestTicket: number };
}

async function pollNode(
  environment: ProofEnvironment,
  newestByIncarnation: Map<string, number>,
  { name, address }: PolledNode,
): Promise<void> {
  try {
    const { log, node } = await got(`http://${address}/v1/status`, {
      headers: { authorization: `Bearer ${environment.fleet.operator.key}` },
      timeout: { request: READ_TIMEOUT_MS },
      retry: { limit: 0 },
    }).json<NodeStatus>();
    if (node.state === 'starting') return;
    environment.observeTicket(log.newestTicket);
    const incarnation = `${name}/${node.incarnation}`;
    if (newestByIncarnation.get(incarnation) === log.newestTicket) return;
    newestByIncarnation.set(incarnation, log.newestTicket);
    environment.record({
      type: 'ticket',
      number: log.newestTicket,
      state: 'in-force',
      node: name,
      scope: 'services',
    });
  } catch {
    // The node is down, paused or starting. The checker relies on what was recorded before.
  }
}
