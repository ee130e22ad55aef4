import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import { MemoryKeyedLog } from '@ragwortrudder/log';
import type { KeyedLog } from '@ragwortrudder/log';
import { freePort } from './free-port.ts';
import { GatewayHarness } from './gateway-harness.ts';

const OPERATOR_TOPIC = 'op';
const NODES = 6;
const VERSIONS = 20;
const GAP_MS = 150;
/** Time from the confirmation of a configuration within which it is in force on all nodes. */
const APPLY_MS = 2_000;

/** A log that counts the reads of the operator's records. */
class CountingLog implements KeyedLog {
  reads = 0;
  readonly #log: KeyedLog;

  constructor(log: KeyedLog) {
    this.#log = log;
  }

  get era(): number {
    return this.#log.era;
  }

  newest(topic: string): ReturnType<KeyedLog['newest']> {
    return this.#log.newest(topic);
  }

  read(range: Parameters<KeyedLog['read']>[0]): ReturnType<KeyedLog['read']> {
    if (range.topic === OPERATOR_TOPIC) this.reads += 1;
    return this.#log.read(range);
  }

  append(record: Parameters<KeyedLog['append']>[0]): Promise<number> {
    return this.#log.append(record);
  }
}

// Guards against a read of each node for each configuration, which grows with the number of nodes.
test('pattern: many nodes; a quick series of configurations is read once for a failure domain', async (t) => {
  const log = new CountingLog(new MemoryKeyedLog());
  const writer = GatewayHarness.writerFor(log);
  await writer.configure({});
  await writer.registerRunner('r0', 1);
  const nodes: GatewayHarness[] = [];
  for (let index = 0; index < NODES; index += 1) {
    nodes.push(
      await GatewayHarness.start(t, { log, node: `n${index}`, peerPort: await freePort() }),
    );
  }
  await sleep(APPLY_MS);
  log.reads = 0;
  for (let version = 0; version < VERSIONS; version += 1) {
    await writer.configure({});
    await sleep(GAP_MS);
  }
  const isApplied = ({ lines }: GatewayHarness): boolean =>
    lines.some((line) => line.includes(`"configuration-applied","version":${VERSIONS + 1}`));
  for (const node of nodes) await node.waitUntil(() => isApplied(node));
  // Both readers may see a version before the other one has told of it.
  t.true(log.reads <= 2 * VERSIONS + 2, `${log.reads} reads of ${VERSIONS} configurations`);
});

// Guards against a configuration that no node can be told of because it fits into no datagram.
test('a configuration that is larger than a feed is read by each node', async (t) => {
  const log = new CountingLog(new MemoryKeyedLog());
  const writer = GatewayHarness.writerFor(log);
  await writer.configure({});
  await writer.registerRunner('r0', 1);
  const nodes: GatewayHarness[] = [];
  for (let index = 0; index < 3; index += 1) {
    nodes.push(
      await GatewayHarness.start(t, { log, node: `n${index}`, peerPort: await freePort() }),
    );
  }
  await sleep(APPLY_MS);
  const keys = Array.from({ length: 8_000 }, (_item, index) => `key-of-the-team-${index}`);
  await writer.configure({ tenants: [{ name: 'team', api_keys: keys }] });
  await sleep(APPLY_MS);
  for (const node of nodes) {
    const { lines } = node;
    t.true(lines.some((line) => line.includes('"configuration-applied","version":2')));
  }
});
