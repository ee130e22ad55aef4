import type { Proof } from '../../types/proof.ts';
import { proofFleet } from '../../utils/proof-fleet.ts';
import { TENANTS } from '../../utils/tenants.ts';
import { reclaimRunner } from '../reclaim-runner.ts';
import type { Stage } from '../stage.ts';
import { runWorkload } from '../workload.ts';

const DURATION_MS = 9000;
const NOTICE_MS = 1500;
const ENTRY_NOTICE_MS = 2500;
/** A quote takes longer than either notice. */
const QUOTE_TOKENS = 350;

/** Reclaims an endpoint of each kind and the VM of a node while requests run. */
export const acceptedSurvives: Proof = {
  promise: 1,
  name: 'accepted-survives',
  checkers: ['accepted-survives', 'whole-answer-once', 'at-most-once'],
  fleet: proofFleet({
    entriesPerFailureDomain: 2,
    settings: { shutdown: { graceMs: 5000, handOverMs: 2500 } },
  }),
  async run(stage) {
    await Promise.all([
      runWorkload({
        stage,
        tenants: TENANTS,
        pauseMs: 80,
        durationMs: DURATION_MS,
        mix: { quotes: 4, stock: 2, orders: 2 },
        maxTokens: QUOTE_TOKENS,
        issued: 0.5,
      }),
      reclaimAll(stage),
    ]);
  },
};

async function reclaimAll(stage: Stage): Promise<void> {
  await stage.pause(1500);
  for (const service of ['quotes', 'stock', 'orders']) {
    const runner = stage.fleet.runners.find((one) => one.service === service);
    if (runner) void reclaimRunner(stage, runner.id, { noticeMs: NOTICE_MS });
  }
  await stage.pause(1000);
  const { name } = stage.pick(stage.fleet.entries as [(typeof stage.fleet.entries)[number]]);
  stage.record({ type: 'notice', vm: name, deadline: Date.now() + ENTRY_NOTICE_MS });
  stage.fault('reclaim', name);
  await stage.fleet.reclaim(name, { noticeMs: ENTRY_NOTICE_MS });
  await stage.pause(ENTRY_NOTICE_MS);
}
