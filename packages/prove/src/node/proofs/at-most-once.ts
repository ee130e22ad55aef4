import type { Proof } from '../../types/proof.ts';
import { proofFleet } from '../../utils/proof-fleet.ts';
import { TENANTS } from '../../utils/tenants.ts';
import type { ProofEnvironment } from '../proof-environment.ts';
import { runWorkload } from '../workload.ts';

const DURATION_MS = 14_000;

/**
 * Sends repeated orders to several nodes while owners are killed and paused, the log fails, replies
 * are lost, and a failure domain is cut off.
 */
export const atMostOnce: Proof = {
  promise: 5,
  name: 'at-most-once',
  checkers: ['at-most-once', 'not-run-means-not-run'],
  fleet: proofFleet({
    relays: true,
    runners: [{ service: 'orders', version: 'v1', kind: 'application', count: 3 }],
  }),
  async run(environment) {
    await Promise.all([
      runWorkload({
        environment,
        tenants: TENANTS,
        pauseMs: 30,
        durationMs: DURATION_MS,
        mix: { quotes: 0, stock: 0, orders: 1 },
        repeated: 0.6,
        issued: 0.4,
      }),
      injectFaults(environment),
    ]);
  },
};

async function injectFaults(environment: ProofEnvironment): Promise<void> {
  const { fleet } = environment;
  const [first, second, third] = fleet.entries
    .map(({ name }) => name)
    .sort(() => environment.random.next() - 0.5);
  const [runner] = fleet.runners.map(({ id }) => id).sort(() => environment.random.next() - 0.5);
  if (!first || !second || !third || !runner) return;
  await environment.pause(1500);
  environment.fault('reply-lost', runner, 'start');
  await fleet.applicationFault(runner, { mode: 'reply-lost', rate: 0.5 });
  environment.fault('log reply lost', 'platform');
  await fleet.platformFault({ target: 'log.append', mode: 'reply-lost', count: 20 });
  await environment.pause(1500);
  environment.fault('kill', first);
  await fleet.kill(first);
  await environment.pause(1500);
  await fleet.restart(first);
  await fleet.applicationFault(runner, { mode: 'ok' });
  environment.fault('reply-lost', runner, 'end');
  environment.fault('pause', second, 'start');
  fleet.pause(second);
  await environment.pause(3000);
  fleet.resume(second);
  environment.fault('pause', second, 'end');
  const domain = fleet.member(third).failureDomain;
  environment.fault('cut', domain, 'start');
  await fleet.cutFailureDomain(domain);
  await environment.pause(2500);
  await fleet.cutFailureDomain(domain, 'open');
  environment.fault('cut', domain, 'end');
  environment.fault('log down', 'platform');
  await fleet.platformFault({ target: 'log.append', mode: 'down' });
  await environment.pause(1000);
  await fleet.platformFault({ target: 'log.append', mode: 'ok' });
}
