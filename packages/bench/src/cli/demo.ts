/**
 * Starts a complete deployment as separate processes, sends the example requests and prints the
 * answers.
 */
import { readFile } from 'node:fs/promises';
import { Fleet } from '@ragwortrudder/standins';
import { runScenario } from '../node/run-scenario.ts';
import type { ScenarioAnswer } from '../types/scenario-answer.ts';
import { Scenario } from '../types/scenario.ts';
import { firstTicket } from '../utils/deployment.ts';

const INPUT = new URL('../../../../examples/requests.json', import.meta.url);
const SEED = 1;
const SERVICES: readonly string[] = ['quotes', 'reconciliation', 'stock', 'orders', 'filing'];
const RUNNERS_PER_SERVICE = 3;

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

function formatAnswer(answer: ScenarioAnswer, nodeNames: ReadonlyMap<string, string>): string {
  const { outcome, tenant, service, runners, tokens, elapsedMs, detail } = answer;
  const node = nodeNames.get(answer.node) ?? answer.node;
  const columns = [
    outcome.padEnd(7),
    tenant.padEnd(16),
    service.padEnd(15),
    node.padEnd(9),
    runners.join(',').padEnd(20),
    `${tokens} tokens`.padEnd(10),
    `${Math.round(elapsedMs)} ms`,
    detail,
  ];
  return columns.join(' ');
}

const scenario = Scenario.parse(JSON.parse(await readFile(INPUT, 'utf8')));
const fleet = new Fleet({
  seed: SEED,
  tenants: scenario.tenants.map(({ tenant, key }) => ({ tenant, key })),
  runners: SERVICES.map((service) => ({
    service,
    version: 'v1',
    kind: service === 'quotes' || service === 'reconciliation' ? 'model' : 'application',
    count: RUNNERS_PER_SERVICE,
  })),
});
try {
  print('starting the platform, the runners and three nodes as separate processes');
  await fleet.start();
  const submitted = await fleet.submitTicket(firstTicket(scenario, SERVICES));
  print(`ticket 1: status ${submitted.status}`);
  const nodes = fleet.entries.map(({ address }) => address);
  const nodeNames = new Map(fleet.entries.map(({ address, name }) => [address, name]));
  const answers = await runScenario({ scenario, nodes, seed: SEED });
  for (const answer of answers) print(formatAnswer(answer, nodeNames));
  const failed = answers.filter(({ outcome }) => outcome !== 'done').length;
  print(`${answers.length - failed} answered, ${failed} failed`);
  process.exitCode = failed === 0 ? 0 : 1;
} finally {
  await fleet.close();
}
