/**
 * Uses the coordination packages without the daemon: two processes' worth of parts share one log in
 * memory. Two operators race with tickets, and two nodes are asked for the same order at once.
 */
import { MemoryLog } from '@ragwortrudder/log';
import { Configuration } from './configuration.ts';
import { OnceOnly } from './once-only.ts';

const service = (version: string): unknown => ({
  kind: 'application',
  version,
  fencing: true,
  idempotent: false,
  classes: ['interactive'],
});
const ticket = (number: number, author: string, version: string): unknown => ({
  number,
  against: 1,
  author,
  services: { orders: service(version) },
});

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

async function raceTickets(): Promise<void> {
  const log = new MemoryLog();
  const one = new Configuration({ log, failureDomain: 'a', seed: 1 });
  const other = new Configuration({ log, failureDomain: 'b', seed: 2 });
  await one.submit({ number: 1, against: 0, author: 'ann', services: { orders: service('v1') } });
  const statuses = await Promise.all([
    one.submit(ticket(2, 'ann', 'v2')),
    other.submit(ticket(3, 'ben', 'v3')),
  ]);
  for (const { number, status, refusal } of statuses) {
    print(
      `ticket ${number}: ${status}${refusal ? `, lost to ticket ${refusal.lostTo ?? ''}` : ''}`,
    );
  }
  print(`orders at one: ${one.versionOf('orders') ?? ''}`);
  print(`orders at the other: ${other.versionOf('orders') ?? ''}`);
  await Promise.all([one.close(), other.close()]);
  await log.close();
}

async function raceOrders(): Promise<void> {
  const log = new MemoryLog();
  let runs = 0;
  const run = (key: string): Promise<unknown> => {
    runs += 1;
    return Promise.resolve({ order: key, pallets: 2 });
  };
  const nodes = ['entry-1', 'entry-2'].map(
    (node, index) => new OnceOnly({ log, self: { node, incarnation: 1 }, seed: index, run }),
  );
  const answers = await Promise.all(nodes.map((node) => node.call('reorder-417', 'digest-1')));
  for (const answer of answers) print(JSON.stringify(answer));
  const reused = await nodes[0]?.call('reorder-417', 'digest-2');
  print(JSON.stringify(reused));
  print(`runs: ${runs}`);
  await Promise.all(nodes.map((node) => node.close()));
  await log.close();
}

await raceTickets();
await raceOrders();
