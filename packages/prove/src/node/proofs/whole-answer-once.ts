import type { Proof } from '../../types/proof.ts';
import { proofFleet } from '../../utils/proof-fleet.ts';
import { TENANTS } from '../../utils/tenants.ts';
import type { Stage } from '../stage.ts';
import { runWorkload } from '../workload.ts';

const DURATION_MS = 12_000;

/** Kills and pauses nodes and silences engine streams while callers read; they reconnect elsewhere. */
export const wholeAnswerOnce: Proof = {
  promise: 3,
  name: 'whole-answer-once',
  checkers: ['whole-answer-once', 'accepted-survives'],
  fleet: proofFleet({
    entriesPerFailureDomain: 2,
    runners: [{ service: 'quotes', version: 'v1', kind: 'model', count: 4 }],
  }),
  async run(stage) {
    await Promise.all([
      runWorkload({
        stage,
        tenants: TENANTS,
        pauseMs: 60,
        durationMs: DURATION_MS,
        mix: { quotes: 1, stock: 0, orders: 0 },
        maxTokens: 150,
      }),
      disturb(stage),
    ]);
  },
};

async function disturb(stage: Stage): Promise<void> {
  const { fleet } = stage;
  const [first, second, third] = fleet.entries
    .map(({ name }) => name)
    .sort(() => stage.random.next() - 0.5);
  if (!first || !second || !third) return;
  await stage.pause(2000);
  stage.fault('kill', first);
  await fleet.kill(first);
  await stage.pause(2500);
  stage.fault('pause', second, 'start');
  fleet.pause(second);
  const runner = stage.pick(fleet.runners as [(typeof fleet.runners)[number]]);
  stage.fault('silent-connection', runner.id);
  await fleet.engineFault(runner.id, { stall: true });
  await stage.pause(4000);
  fleet.resume(second);
  stage.fault('pause', second, 'end');
  await fleet.restart(first);
  await stage.pause(1500);
  stage.fault('kill', third);
  await fleet.kill(third);
}
