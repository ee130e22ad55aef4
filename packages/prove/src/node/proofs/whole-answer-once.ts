import type { Proof } from '../../types/proof.ts';
import { proofFleet } from '../../utils/proof-fleet.ts';
import { TENANTS } from '../../utils/tenants.ts';
import type { ProofEnvironment } from '../proof-environment.ts';
import { runWorkload } from '../workload.ts';

const DURATION_MS = 12_000;

/**
 * Kills and pauses nodes and stalls engine streams while callers read; the callers reconnect to other
 * nodes.
 */
export const wholeAnswerOnce: Proof = {
  promise: 3,
  name: 'whole-answer-once',
  checkers: ['whole-answer-once', 'accepted-survives'],
  fleet: proofFleet({
    entriesPerFailureDomain: 2,
    runners: [{ service: 'quotes', version: 'v1', kind: 'model', count: 4 }],
  }),
  async run(environment) {
    await Promise.all([
      runWorkload({
        environment,
        tenants: TENANTS,
        pauseMs: 60,
        durationMs: DURATION_MS,
        mix: { quotes: 1, stock: 0, orders: 0 },
        maxTokens: 150,
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
  if (!first || !second || !third) return;
  await environment.pause(2000);
  environment.fault('kill', first);
  await fleet.kill(first);
  await environment.pause(2500);
  environment.fault('pause', second, 'start');
  fleet.pause(second);
  const runner = environment.pick(fleet.runners as [(typeof fleet.runners)[number]]);
  environment.fault('silent-connection', runner.id);
  await fleet.engineFault(runner.id, { stall: true });
  await environment.pause(4000);
  fleet.resume(second);
  environment.fault('pause', second, 'end');
  await fleet.restart(first);
  await environment.pause(1500);
  environment.fault('kill', third);
  await fleet.kill(third);
}
