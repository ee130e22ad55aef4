import { Writable } from 'node:stream';
import test from 'ava';
import { SystemClock } from '@ragwortrudder/core';
import { MemoryKeyedLog } from '@ragwortrudder/log';
import type { KeyedLog } from '@ragwortrudder/log';
import { DecisionLog } from '../../packages/gateway/src/node/decision-log.ts';
import { NodeRegistration } from '../../packages/gateway/src/node/node-registration.ts';
import { createTermStore } from './create-term-store.ts';
import { LateLog } from './late-log.ts';

function createRegistration(
  log: KeyedLog,
  { node = 'n1', incarnation = 1 },
): { readonly registration: NodeRegistration; readonly peers: readonly string[] } {
  const peers: string[] = [];
  const out = new Writable({
    write: (_chunk, _encoding, done) => {
      done();
    },
  });
  const registration = new NodeRegistration({
    log,
    decisions: new DecisionLog({ node, out, clock: new SystemClock() }),
    node,
    entry: { host: '127.0.0.1', port: 9_000, failureDomain: 'a', life: incarnation },
    peers: {
      addPeer: (id) => {
        peers.push(id);
      },
      publishReport: () => Promise.resolve(),
    },
  });
  return { registration, peers };
}

async function listedIn(log: KeyedLog): Promise<readonly string[]> {
  return (await log.newest('nodes')).records.map(({ key }) => key);
}

// Guards against nodes that do not know each other after a restart (ONE).
test('pattern: removal of a node is done late; the entry of its next incarnation stays', async (t) => {
  const log = new MemoryKeyedLog();
  const lateLog = new LateLog(log, ({ value }) => value === undefined);
  const before = createRegistration(lateLog, { incarnation: 1 });
  await before.registration.register();
  await t.throwsAsync(before.registration.deregister());
  await createRegistration(log, { incarnation: 2 }).registration.register();
  await lateLog.finish();
  t.deepEqual(await listedIn(log), ['n1']);
});

test('a node that stops is removed, also while another node registers', async (t) => {
  const log = new MemoryKeyedLog();
  const first = createRegistration(log, { node: 'n1' });
  await first.registration.register();
  await Promise.all([
    first.registration.deregister(),
    createRegistration(log, { node: 'n2' }).registration.register(),
  ]);
  t.deepEqual(await listedIn(log), ['n2']);
});

// Guards against a removal by another build or writer that a node never notices (ONE).
test('pattern: entry of a node was removed; the node registers again when it is told to check', async (t) => {
  const log = new MemoryKeyedLog();
  const { registration, peers } = createRegistration(log, { node: 'n1' });
  await registration.register();
  await log.append({ topic: 'nodes', key: 'n1' });
  await createRegistration(log, { node: 'n2' }).registration.register();
  await registration.register();
  t.deepEqual(await listedIn(log), ['n2']);
  registration.verify();
  await registration.register();
  await registration.register();
  t.deepEqual([...(await listedIn(log))].toSorted(), ['n1', 'n2']);
  t.true(peers.includes('n2'));
});

// Guards against a duty holder that is not listed and knows no node that started after it (ONE).
test('pattern: duty holder that no peer tells of; the node adds it by the entry in its term', async (t) => {
  const log = new MemoryKeyedLog();
  const { registration, peers } = createRegistration(log, { node: 'n1' });
  await registration.register();
  const entry = { host: '127.0.0.1', port: 9_001, failureDomain: 'b', life: 3 };
  const holder = createTermStore({ log, node: 'n2', entry });
  await holder.takeOver();
  registration.recordUnheard(await createTermStore({ log, node: 'n1' }).observe());
  t.deepEqual(peers, ['n2']);
});
