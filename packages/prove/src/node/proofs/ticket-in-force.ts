import got from 'got';
import type { Proof } from '../../types/proof.ts';
import { proofFleet } from '../../utils/proof-fleet.ts';
import type { Stage } from '../stage.ts';

const DURATION_MS = 16_000;
const POLL_MS = 100;
const TICKET_PAUSE_MS = 250;
const BOUND_MS = 16_000;
const READ_TIMEOUT_MS = 1000;

/** Tickets of two racing operators over an outage, a cut, replaced nodes and expired records. */
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
  async run(stage) {
    const watching = new AbortController();
    const watch = watchNodes(stage, watching.signal);
    await Promise.all([submitTickets(stage), disturb(stage)]);
    await replaceAll(stage);
    await stage.pause(BOUND_MS + 1000);
    watching.abort();
    await watch;
    // The checker judges a node only if the history lasts beyond its bound.
    stage.record({ type: 'stop', target: 'run', planned: true, phase: 'end' });
  },
};

/** Two operators race with conflicting tickets, both written against the newest accepted one. */
async function submitTickets(stage: Stage): Promise<void> {
  const endsAt = performance.now() + DURATION_MS;
  let next = 2;
  while (performance.now() < endsAt) {
    const against = stage.newestTicket;
    const numbers = [next, next + 1];
    next += 2;
    const nodes = stage.fleet.entries.map(({ name }) => name);
    await Promise.all(
      numbers.map((number) => {
        const tenants = { novak: { weight: number, maxConcurrent: 1000, maxQueued: 1000 } };
        const ticket = { number, against, tenants };
        return stage.submitNumbered(ticket, nodes[number % nodes.length]).catch(() => 'unanswered');
      }),
    );
    await stage.pause(TICKET_PAUSE_MS);
  }
}

async function disturb(stage: Stage): Promise<void> {
  const { fleet } = stage;
  const [first, second] = fleet.entries
    .map(({ name }) => name)
    .sort(() => stage.random.next() - 0.5);
  if (!first || !second) return;
  await stage.pause(2000);
  const domain = fleet.member(first).failureDomain;
  stage.fault('cut from platform', first, 'start');
  await fleet.linkFault({ from: [first], to: ['platform'] }, 'cut');
  await stage.pause(2500);
  stage.fault('kill', second);
  await fleet.kill(second);
  stage.fault('log down', 'platform');
  await fleet.platformFault({ target: 'log.read', mode: 'down' });
  const { failureDomain } = fleet.member(second);
  stage.record({ type: 'start', target: second, role: 'node', failureDomain });
  await fleet.restart(second).catch(() => undefined);
  await stage.pause(2500);
  await fleet.platformFault({ target: 'log.read', mode: 'ok' });
  await fleet.linkFault({ from: [first], to: ['platform'] }, 'open');
  stage.fault('cut from platform', first, 'end');
  stage.fault('cut', domain, 'start');
  await fleet.cutFailureDomain(domain);
  await stage.pause(2500);
  await fleet.cutFailureDomain(domain, 'open');
  stage.fault('cut', domain, 'end');
}

/** Replaces all nodes at once, so that the configuration is left in the log alone. */
async function replaceAll(stage: Stage): Promise<void> {
  const { fleet } = stage;
  stage.fault('kill', 'all nodes');
  await Promise.all(fleet.entries.map(({ name }) => fleet.kill(name)));
  for (const { name, failureDomain } of fleet.entries) {
    stage.record({ type: 'start', target: name, role: 'node', failureDomain });
  }
  await Promise.all(fleet.entries.map(({ name }) => fleet.restart(name).catch(() => undefined)));
}

/** Records each ticket that a node shows in force. */
async function watchNodes(stage: Stage, signal: AbortSignal): Promise<void> {
  const newest = new Map<string, number>();
  while (!signal.aborted) {
    await Promise.all(
      stage.fleet.entries.map(({ name, address }) => watchNode(stage, newest, { name, address })),
    );
    await stage.pause(POLL_MS);
  }
}

interface Watched {
  readonly name: string;
  readonly address: string;
}

interface Status {
  readonly node: { readonly incarnation: number; readonly state: string };
  readonly log: { readonly newestTicket: number };
}

async function watchNode(
  stage: Stage,
  newest: Map<string, number>,
  { name, address }: Watched,
): Promise<void> {
  try {
    const { log, node } = await got(`http://${address}/v1/status`, {
      headers: { authorization: `Bearer ${stage.fleet.operator.key}` },
      timeout: { request: READ_TIMEOUT_MS },
      retry: { limit: 0 },
    }).json<Status>();
    if (node.state === 'starting') return;
    stage.noteTicket(log.newestTicket);
    const life = `${name}/${node.incarnation}`;
    if (newest.get(life) === log.newestTicket) return;
    newest.set(life, log.newestTicket);
    stage.record({
      type: 'ticket',
      number: log.newestTicket,
      state: 'in-force',
      node: name,
      scope: 'services',
    });
  } catch {
    // The node is down, paused or starting; the checker judges what it showed.
  }
}
