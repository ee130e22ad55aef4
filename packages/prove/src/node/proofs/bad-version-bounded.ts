import type { EngineFault } from '@ragwortrudder/standins';
import type { Proof } from '../../types/proof.ts';
import { proofFleet } from '../../utils/proof-fleet.ts';
import { TENANTS } from '../../utils/tenants.ts';
import type { Stage } from '../stage.ts';
import { runWorkload } from '../workload.ts';

const DURATION_MS = 25_000;
const TAKEOVER_MS = 20_000;
const POLL_MS = 100;

const BAD_WAYS: readonly [EngineFault, ...EngineFault[]] = [
  { failRate: 1 },
  { failRate: 0.5 },
  { slowFactor: 10 },
  { failRate: 1, condition: { afterRequests: 12 } },
];

/** Moves a service to a version that is bad in a way drawn from the seed. */
export const badVersionBounded: Proof = {
  promise: 2,
  name: 'bad-version-bounded',
  checkers: ['bad-version-bounded', 'accepted-survives', 'whole-answer-once'],
  bounds: { badVersionStopMs: 3000, badVersionShare: 0.1, badVersionRuns: 40 },
  fleet: proofFleet({
    runners: [
      { service: 'quotes', version: 'v1', kind: 'model', count: 3 },
      { service: 'quotes', version: 'v2', kind: 'model', count: 3 },
    ],
  }),
  async run(stage) {
    await makeBad(stage);
    await Promise.all([
      runWorkload({
        stage,
        tenants: TENANTS,
        pauseMs: 25,
        durationMs: DURATION_MS,
        mix: { quotes: 1, stock: 0, orders: 0 },
        maxTokens: 5,
      }),
      moveAndWatch(stage),
    ]);
  },
};

async function makeBad(stage: Stage): Promise<void> {
  const fault = stage.pick(BAD_WAYS);
  stage.fault(`bad-version ${JSON.stringify(fault)}`, 'quotes v2');
  for (const { id, version } of stage.fleet.runners) {
    if (version === 'v2') await stage.fleet.engineFault(id, fault);
  }
}

async function moveAndWatch(stage: Stage): Promise<void> {
  await stage.pause(1500);
  const takeoverBy = Date.now() + TAKEOVER_MS;
  const quotes = stage.service('quotes', 'v2', { previous: 'v1', takeoverBy });
  await stage.submitTicket({ services: { quotes } });
  for (;;) {
    const word = await wordOfMove(stage);
    if (word !== undefined) {
      stage.record({ type: 'version', service: 'quotes', version: 'v2', state: word });
      if (word === 'undone')
        stage.record({ type: 'version', service: 'quotes', version: 'v2', state: 'bad-shown' });
      return;
    }
    await stage.pause(POLL_MS);
    if (Date.now() > takeoverBy + 5000) return;
  }
}

interface WordBody {
  readonly kind?: string;
  readonly word?: 'done' | 'undone';
}

async function wordOfMove(stage: Stage): Promise<'done' | 'undone' | undefined> {
  const records = await stage.fleet.log('tickets');
  const bodies = records.flatMap(
    ({ body }) => (body as { readonly entries: readonly { readonly body: WordBody }[] }).entries,
  );
  return bodies.find(({ body }) => body.kind === 'move-word')?.body.word;
}
