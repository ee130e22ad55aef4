import type { Proof } from '../../types/proof.ts';
import { proofFleet } from '../../utils/proof-fleet.ts';
import { TENANTS } from '../../utils/tenants.ts';
import type { Stage } from '../stage.ts';
import { runWorkload } from '../workload.ts';

const DURATION_MS = 14_000;

/** Upgrades every node in turn with SIGTERM while long requests run; no caller has to reconnect. */
export const gracefulStop: Proof = {
  promise: 7,
  name: 'graceful-stop',
  checkers: ['graceful-stop', 'accepted-survives', 'whole-answer-once', 'at-most-once'],
  bounds: { unannouncedFaults: [], reconnectAllowed: false },
  fleet: proofFleet({ settings: { shutdown: { graceMs: 4000, handOverMs: 2500 } } }),
  async run(stage) {
    await Promise.all([
      runWorkload({
        stage,
        tenants: TENANTS,
        pauseMs: 50,
        durationMs: DURATION_MS,
        mix: { quotes: 4, stock: 1, orders: 1 },
        maxTokens: 200,
        issued: 0.5,
      }),
      upgradeAll(stage),
    ]);
  },
};

async function upgradeAll(stage: Stage): Promise<void> {
  const { fleet } = stage;
  await stage.pause(1500);
  for (const { name, failureDomain } of fleet.entries) {
    stage.record({ type: 'stop', target: name, planned: true, phase: 'start' });
    stage.fault('upgrade', name);
    await fleet.kill(name, 'SIGTERM');
    stage.record({ type: 'stop', target: name, planned: true, phase: 'end' });
    await fleet.restart(name);
    stage.record({ type: 'start', target: name, role: 'node', failureDomain });
    await stage.pause(1000);
  }
}
