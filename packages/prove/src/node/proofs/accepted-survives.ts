import type { Proof } from '../../types/proof.ts';
import { proofFleet } from '../../utils/proof-fleet.ts';
import { TENANTS } from '../../utils/tenants.ts';
import { reclaimRunner } from '../reclaim-runner.ts';
import type { ProofEnvironment } from '../proof-environment.ts';
import { runWorkload } from '../workload.ts';

const DURATION_MS = 9000;
const NOTICE_MS = 1500;
const NODE_NOTICE_MS = 2500;
/** Long enough that a quote takes longer than either notice period. */
const QUOTE_TOKENS = 350;

/** Reclaims the VMs of one endpoint of each service and of one node while requests are in progress. */
export const acceptedSurvives: Proof = {
  promise: 1,
  name: 'accepted-survives',
  checkers: ['accepted-survives', 'whole-answer-once', 'at-most-once'],
  fleet: proofFleet({
    entriesPerFailureDomain: 2,
    settings: { shutdown: { graceMs: 5000, handOverMs: 2500 } },
  }),
  async run(environment) {
    await Promise.all([
      runWorkload({
        environment,
        tenants: TENANTS,
        pauseMs: 80,
        durationMs: DURATION_MS,
        mix: { quotes: 4, stock: 2, orders: 2 },
        maxTokens: QUOTE_TOKENS,
        issued: 0.5,
      }),
      reclaimVms(environment),
    ]);
  },
};

async function reclaimVms(environment: ProofEnvironment): Promise<void> {
  await environment.pause(1500);
  for (const service of ['quotes', 'stock', 'orders']) {
    const runner = environment.fleet.runners.find((one) => one.service === service);
    if (runner) void reclaimRunner(environment, runner.id, { noticeMs: NOTICE_MS });
  }
  await environment.pause(1000);
  const { name } = environment.pick(
    environment.fleet.entries as [(typeof environment.fleet.entries)[number]],
  );
  environment.record({ type: 'notice', vm: name, deadline: Date.now() + NODE_NOTICE_MS });
  environment.fault('reclaim', name);
  await environment.fleet.reclaim(name, { noticeMs: NODE_NOTICE_MS });
  await environment.pause(NODE_NOTICE_MS);
}
