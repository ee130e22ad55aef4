import type { Proof } from '../../types/proof.ts';
import { proofFleet } from '../../utils/proof-fleet.ts';
import { TENANTS } from '../../utils/tenants.ts';
import type { ProofEnvironment } from '../proof-environment.ts';
import { runWorkload } from '../workload.ts';

const DURATION_MS = 14_000;

/**
 * Upgrades the nodes one after another with SIGTERM while long requests are in progress; no caller
 * may have to reconnect.
 */
export const gracefulStop: Proof = {
  promise: 7,
  name: 'graceful-stop',
  checkers: ['graceful-stop', 'accepted-survives', 'whole-answer-once', 'at-most-once'],
  bounds: { unannouncedFaults: [], reconnectAllowed: false },
  fleet: proofFleet({ settings: { shutdown: { graceMs: 4000, handOverMs: 2500 } } }),
  async run(environment) {
    await Promise.all([
      runWorkload({
        environment,
        tenants: TENANTS,
        pauseMs: 50,
        durationMs: DURATION_MS,
        mix: { quotes: 4, stock: 1, orders: 1 },
        maxTokens: 200,
        issued: 0.5,
      }),
      upgradeNodes(environment),
    ]);
  },
};

async function upgradeNodes(environment: ProofEnvironment): Promise<void> {
  const { fleet } = environment;
  await environment.pause(1500);
  for (const { name, failureDomain } of fleet.entries) {
    environment.record({ type: 'stop', target: name, planned: true, phase: 'start' });
    environment.fault('upgrade', name);
    await fleet.kill(name, 'SIGTERM');
    environment.record({ type: 'stop', target: name, planned: true, phase: 'end' });
    await fleet.restart(name);
    environment.record({ type: 'start', target: name, role: 'node', failureDomain });
    await environment.pause(1000);
  }
}
