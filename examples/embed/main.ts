/**
 * Uses the coordination packages without the daemon. The components of two processes share one
 * in-memory log: first two operators submit conflicting tickets, then two nodes receive the same order
 * at the same time.
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
  const first = new Configuration({ log, failureDomain: 'a', seed: 1 });
  const second = new Configuration({ log, failureDomain: 'b', seed: 2 });
  await first.submit({ number: 1, against: 0, author: 'ann', services: { orders: service('v1') } });
  const statuses = await Promise.all([
    first.submit(ticket(2, 'ann', 'v2')),
    second.submit(ticket(3, 'ben', 'v3')),
  ]);
  for (const { number, status, refusal } of statuses) {
    print(
      `ticket ${number}: ${status}${refusal ? `, lost to ticket ${refusal.lostTo ?? ''}` : ''}`,
    );
  }
  print(`orders at one: ${first.versionOf('orders') ?? ''}`);
  print(`orders at the other: ${second.versionOf('orders') ?? ''}`);
  await Promise.all([first.close(), second.close()]);
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
