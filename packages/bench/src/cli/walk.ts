/**
 * Runs a local deployment for the walkthrough in the README until SIGINT or SIGTERM, with a light
 * load on `quotes`.
 */
import { mkdir, readFile, rm, writeFile } from 'node:fs/promises';
import { setTimeout as sleep } from 'node:timers/promises';
import { CallerClient } from '@ragwortrudder/client';
import { SeededRandom } from '@ragwortrudder/core';
import { Fleet } from '@ragwortrudder/standins';
import { Scenario } from '../types/scenario.ts';
import { firstTicket } from '../utils/deployment.ts';

const INPUT = new URL('../../../../examples/requests.json', import.meta.url);
const FOLDER = 'dist/walk';
const SEED = 1;
const SERVICES: readonly string[] = ['quotes', 'reconciliation', 'stock', 'orders'];
const MODELS: readonly string[] = ['quotes', 'reconciliation'];
const RUNNERS_PER_VERSION = 3;
const STEP_MS = 40;
const LOAD_PERIOD_MS = 100;
const LOAD_TENANT = 'novak-sales';

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

const scenario = Scenario.parse(JSON.parse(await readFile(INPUT, 'utf8')));
const runnerGroup = (service: string, version: string) => {
  const isModel = MODELS.includes(service);
  return {
    service,
    version,
    kind: isModel ? ('model' as const) : ('application' as const),
    count: RUNNERS_PER_VERSION,
    options: isModel ? { stepMs: STEP_MS } : {},
  };
};
const fleet = new Fleet({
  seed: SEED,
  tenants: scenario.tenants.map(({ tenant, key }) => ({ tenant, key })),
  runners: [...SERVICES.map((service) => runnerGroup(service, 'v1')), runnerGroup('quotes', 'v2')],
});
const shutdown = new AbortController();
for (const signal of ['SIGINT', 'SIGTERM']) {
  process.on(signal, () => {
    shutdown.abort();
  });
}

/** Writes the key files and a file with shell variables. */
async function writeFiles(): Promise<void> {
  await mkdir(FOLDER, { recursive: true });
  const keys = [...scenario.tenants.map(({ tenant, key }) => [tenant, key] as const)];
  for (const [name, key] of [...keys, ['operator', fleet.operator.key] as const]) {
    await writeFile(`${FOLDER}/${name}.key`, `${key}\n`, { mode: 0o600 });
  }
  const nodes = fleet.entries.map(({ address }) => address);
  const variables = [
    `NODE_1=${nodes[0] ?? ''}`,
    `NODES="${nodes.map((node) => `--node ${node}`).join(' ')}"`,
    `PLATFORM=${fleet.platformAddress}`,
    `KEYS=${FOLDER}`,
    'RR=dist/ragwortrudder',
  ];
  await writeFile(`${FOLDER}/env`, `${variables.join('\n')}\n`);
  for (const line of variables) print(`  ${line}`);
}

/** Sends short requests to `quotes` at a steady rate; returns how many failed. */
async function runLoad(): Promise<number> {
  const { signal } = shutdown;
  const key = scenario.tenants.find(({ tenant }) => tenant === LOAD_TENANT)?.key ?? '';
  const nodes = fleet.entries.map(({ address }) => address);
  const client = new CallerClient({ nodes, key, random: new SeededRandom(SEED) });
  let failed = 0;
  const send = async (number: number): Promise<void> => {
    const body = { prompt: `Quote number ${number} for a school`, maxTokens: 8 };
    try {
      for await (const { type } of client.submit({ service: 'quotes', body })) {
        if (type === 'failed') failed += 1;
      }
    } catch {
      if (!signal.aborted) failed += 1;
    }
  };
  const openRequests = new Set<Promise<void>>();
  for (let number = 1; !signal.aborted; number += 1) {
    const request = send(number).finally(() => openRequests.delete(request));
    openRequests.add(request);
    await sleep(LOAD_PERIOD_MS, undefined, { signal }).catch(() => undefined);
  }
  await Promise.all(openRequests);
  return failed;
}

try {
  print('starting the platform, the runners and three nodes as separate processes');
  await fleet.start();
  await fleet.submitTicket(firstTicket(scenario, SERVICES));
  print(`ready; for another shell: . ${FOLDER}/env`);
  await writeFiles();
  print('press Ctrl-C to stop');
  print(`${await runLoad()} requests of the load failed`);
} finally {
  await fleet.close();
  await rm(FOLDER, { recursive: true, force: true });
}
