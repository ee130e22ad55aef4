import type { Proof } from '../../types/proof.ts';
import { proofFleet } from '../../utils/proof-fleet.ts';
import { TENANTS } from '../../utils/tenants.ts';
import { reclaimRunner } from '../reclaim-runner.ts';
import type { Stage } from '../stage.ts';
import { runWorkload } from '../workload.ts';

const DURATION_MS = 10_000;
const NOTICE_MS = 8000;

/** Gives notices while the list of VMs lags far behind, runners do not tell and one node cannot read notices. */
export const leavingEndpoint: Proof = {
  promise: 6,
  name: 'leaving-endpoint',
  checkers: ['leaving-endpoint', 'accepted-survives'],
  bounds: { leavingEndpointMs: 3000 },
  fleet: proofFleet({ platform: { vmLagMs: 30_000 }, relays: true }),
  async run(stage) {
    await Promise.all([
      runWorkload({
        stage,
        tenants: TENANTS,
        pauseMs: 30,
        durationMs: DURATION_MS,
        mix: { quotes: 1, stock: 1, orders: 1 },
        maxTokens: 10,
        issued: 0.5,
      }),
      disturb(stage),
    ]);
  },
};

async function disturb(stage: Stage): Promise<void> {
  const { fleet } = stage;
  await stage.pause(1000);
  const [entry] = fleet.entries.map(({ name }) => name).sort(() => stage.random.next() - 0.5);
  if (entry) {
    stage.fault('cut from platform', entry, 'start');
    await fleet.linkFault({ from: [entry], to: ['platform'] }, 'cut');
  }
  for (const service of ['quotes', 'stock', 'orders']) {
    const runner = fleet.runners.find((one) => one.service === service);
    if (runner) void reclaimRunner(stage, runner.id, { noticeMs: NOTICE_MS, isReported: false });
  }
  await stage.pause(NOTICE_MS);
}
