import type { Proof } from '../../types/proof.ts';
import { proofFleet } from '../../utils/proof-fleet.ts';
import { TENANTS } from '../../utils/tenants.ts';
import type { Stage } from '../stage.ts';
import { runWorkload } from '../workload.ts';

const DURATION_MS = 14_000;

/** Repeated orders at several nodes while owners are killed and paused, the log fails, replies are lost and a domain is cut off. */
export const atMostOnce: Proof = {
  promise: 5,
  name: 'at-most-once',
  checkers: ['at-most-once', 'not-run-means-not-run'],
  fleet: proofFleet({
    relays: true,
    runners: [{ service: 'orders', version: 'v1', kind: 'application', count: 3 }],
  }),
  async run(stage) {
    await Promise.all([
      runWorkload({
        stage,
        tenants: TENANTS,
        pauseMs: 30,
        durationMs: DURATION_MS,
        mix: { quotes: 0, stock: 0, orders: 1 },
        repeated: 0.6,
        issued: 0.4,
      }),
      disturb(stage),
    ]);
  },
};

async function disturb(stage: Stage): Promise<void> {
  const { fleet } = stage;
  const [first, second, third] = fleet.entries
    .map(({ name }) => name)
    .sort(() => stage.random.next() - 0.5);
  const [runner] = fleet.runners.map(({ id }) => id).sort(() => stage.random.next() - 0.5);
  if (!first || !second || !third || !runner) return;
  await stage.pause(1500);
  stage.fault('reply-lost', runner, 'start');
  await fleet.applicationFault(runner, { mode: 'reply-lost', rate: 0.5 });
  stage.fault('log reply lost', 'platform');
  await fleet.platformFault({ target: 'log.append', mode: 'reply-lost', count: 20 });
  await stage.pause(1500);
  stage.fault('kill', first);
  await fleet.kill(first);
  await stage.pause(1500);
  await fleet.restart(first);
  await fleet.applicationFault(runner, { mode: 'ok' });
  stage.fault('reply-lost', runner, 'end');
  stage.fault('pause', second, 'start');
  fleet.pause(second);
  await stage.pause(3000);
  fleet.resume(second);
  stage.fault('pause', second, 'end');
  const domain = fleet.member(third).failureDomain;
  stage.fault('cut', domain, 'start');
  await fleet.cutFailureDomain(domain);
  await stage.pause(2500);
  await fleet.cutFailureDomain(domain, 'open');
  stage.fault('cut', domain, 'end');
  stage.fault('log down', 'platform');
  await fleet.platformFault({ target: 'log.append', mode: 'down' });
  await stage.pause(1000);
  await fleet.platformFault({ target: 'log.append', mode: 'ok' });
}
