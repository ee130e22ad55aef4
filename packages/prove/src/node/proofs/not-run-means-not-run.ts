import type { Proof } from '../../types/proof.ts';
import { proofFleet } from '../../utils/proof-fleet.ts';
import { TENANTS } from '../../utils/tenants.ts';
import type { Stage } from '../stage.ts';
import { runWorkload } from '../workload.ts';

const DURATION_MS = 14_000;
const FAULT_MS = 1200;

/** Refusals of every kind: runners that refuse or lose replies, log outages and lost replies, overload, short deadlines. */
export const notRunMeansNotRun: Proof = {
  promise: 4,
  name: 'not-run-means-not-run',
  checkers: ['not-run-means-not-run', 'at-most-once'],
  fleet: proofFleet({
    settings: { admission: { maxQueued: 12, tenantQueued: 8, runnerLimit: 2 } },
  }),
  async run(stage) {
    await Promise.all([
      runWorkload({
        stage,
        tenants: TENANTS,
        pauseMs: 25,
        durationMs: DURATION_MS,
        mix: { quotes: 1, stock: 1, orders: 6 },
        maxTokens: 20,
        repeated: 0.2,
        issued: 0.4,
      }),
      disturb(stage),
    ]);
  },
};

async function disturb(stage: Stage): Promise<void> {
  const { fleet } = stage;
  const orders = fleet.runners.filter(({ service }) => service === 'orders').map(({ id }) => id);
  const steps: readonly (() => Promise<void>)[] = [
    async () => {
      await fleet.platformFault({ target: 'log.append', mode: 'down' });
    },
    async () => {
      await fleet.platformFault({ target: 'log.append', mode: 'reply-lost' });
    },
    async () => {
      await fleet.platformFault({ target: 'log.append', mode: 'slow', delayMs: 3000 });
    },
    async () => {
      for (const id of orders) await fleet.applicationFault(id, { mode: 'not-run' });
    },
    async () => {
      for (const id of orders) await fleet.applicationFault(id, { refuse: true });
    },
    async () => {
      for (const id of orders) await fleet.applicationFault(id, { mode: 'reply-lost', rate: 0.5 });
    },
    async () => {
      for (const id of orders) await fleet.applicationFault(id, { mode: 'slow', delayMs: 1500 });
    },
  ];
  await stage.pause(1000);
  for (const step of steps) {
    stage.fault(`refusals ${String(steps.indexOf(step))}`, 'platform or orders');
    await step();
    await stage.pause(FAULT_MS);
    await fleet.platformFault({ target: 'log.append', mode: 'ok' });
    for (const id of orders) await fleet.applicationFault(id, { mode: 'ok', refuse: false });
    await stage.pause(FAULT_MS / 3);
  }
}
