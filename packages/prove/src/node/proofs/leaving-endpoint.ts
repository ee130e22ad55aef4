import type { Proof } from '../../types/proof.ts';
import { proofFleet } from '../../utils/proof-fleet.ts';
import { TENANTS } from '../../utils/tenants.ts';
import { reclaimRunner } from '../reclaim-runner.ts';
import type { ProofEnvironment } from '../proof-environment.ts';
import { runWorkload } from '../workload.ts';

const DURATION_MS = 10_000;
const NOTICE_MS = 8000;

/**
 * Sends reclaim notices while the list of VMs is stale, the runners do not report the notices, and one
 * node cannot reach the platform to read them.
 */
export const leavingEndpoint: Proof = {
  promise: 6,
  name: 'leaving-endpoint',
  checkers: ['leaving-endpoint', 'accepted-survives'],
  bounds: { leavingEndpointMs: 3000 },
  fleet: proofFleet({ platform: { vmLagMs: 30_000 }, relays: true }),
  async run(environment) {
    await Promise.all([
      runWorkload({
        environment,
        tenants: TENANTS,
        pauseMs: 30,
        durationMs: DURATION_MS,
        mix: { quotes: 1, stock: 1, orders: 1 },
        maxTokens: 10,
        issued: 0.5,
      }),
      injectFaults(environment),
    ]);
  },
};

async function injectFaults(environment: ProofEnvironment): Promise<void> {
  const { fleet } = environment;
  await environment.pause(1000);
  const [node] = fleet.entries.map(({ name }) => name).sort(() => environment.random.next() - 0.5);
  if (node) {
    environment.fault('cut from platform', node, 'start');
    await fleet.linkFault({ from: [node], to: ['platform'] }, 'cut');
  }
  for (const service of ['quotes', 'stock', 'orders']) {
    const runner = fleet.runners.find((one) => one.service === service);
    if (runner)
      void reclaimRunner(environment, runner.id, { noticeMs: NOTICE_MS, isReported: false });
  }
  await environment.pause(NOTICE_MS);
}
