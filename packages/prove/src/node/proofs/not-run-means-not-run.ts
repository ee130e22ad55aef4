import type { Proof } from '../../types/proof.ts';
import { proofFleet } from '../../utils/proof-fleet.ts';
import { TENANTS } from '../../utils/tenants.ts';
import type { ProofEnvironment } from '../proof-environment.ts';
import { runWorkload } from '../workload.ts';

const DURATION_MS = 14_000;
const FAULT_MS = 1200;

/**
 * Causes every kind of refusal: runners that refuse requests or lose replies, log outages and lost log
 * replies, overload, and short deadlines.
 */
export const notRunMeansNotRun: Proof = {
  promise: 4,
  name: 'not-run-means-not-run',
  checkers: ['not-run-means-not-run', 'at-most-once'],
  fleet: proofFleet({
    settings: { admission: { maxQueued: 12, tenantQueued: 8, runnerLimit: 2 } },
  }),
  async run(environment) {
    await Promise.all([
      runWorkload({
        environment,
        tenants: TENANTS,
        pauseMs: 25,
        durationMs: DURATION_MS,
        mix: { quotes: 1, stock: 1, orders: 6 },
        maxTokens: 20,
        repeated: 0.2,
        issued: 0.4,
      }),
      injectFaults(environment),
    ]);
  },
};

async function injectFaults(environment: ProofEnvironment): Promise<void> {
  const { fleet } = environment;
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
  await environment.pause(1000);
  for (const step of steps) {
    environment.fault(`refusals ${String(steps.indexOf(step))}`, 'platform or orders');
    await step();
    await environment.pause(FAULT_MS);
    await fleet.platformFault({ target: 'log.append', mode: 'ok' });
    for (const id of orders) await fleet.applicationFault(id, { mode: 'ok', refuse: false });
    await environment.pause(FAULT_MS / 3);
  }
}
