import { randomBytes } from 'node:crypto';
import { PassThrough } from 'node:stream';
import test from 'ava';
import { ManualClock } from '@ragwortrudder/core';
import { ConfigurationSync } from '../../packages/gateway/src/node/configuration-sync.ts';
import { DecisionLog } from '../../packages/gateway/src/node/decision-log.ts';
import { ConfigurationAssembler } from '../../packages/gateway/src/utils/configuration-assembler.ts';
import { splitConfiguration } from '../../packages/gateway/src/utils/split-configuration.ts';

const DATAGRAM_BYTES = 65_000;

test('a configuration of many parts is joined in any order, with parts that come twice', (t) => {
  const value = randomBytes(100_000);
  const parts = splitConfiguration({ node: 'n1', version: 3, value });
  t.true(parts.length > 2);
  for (const part of parts) t.true(JSON.stringify(part).length < DATAGRAM_BYTES);
  const assembler = new ConfigurationAssembler();
  const [first, ...others] = parts.toReversed();
  if (!first) throw new Error('no part');
  t.is(assembler.add(first), undefined);
  const results = [first, ...others].map((part) => assembler.add(part));
  t.deepEqual(results.at(-1), value);
});

test('parts of an older version are dropped, and a newer version replaces unfinished ones', (t) => {
  const assembler = new ConfigurationAssembler();
  const older = splitConfiguration({ node: 'n1', version: 3, value: randomBytes(50_000) });
  const value = Buffer.from('newer');
  const [newer] = splitConfiguration({ node: 'n2', version: 4, value });
  if (!older[0] || !newer) throw new Error('no part');
  t.is(assembler.add(older[0]), undefined);
  t.deepEqual(assembler.add(newer), value);
  t.true(older.every((part) => assembler.add(part) === undefined));
});

test('a part that cannot be decompressed is an error', (t) => {
  const assembler = new ConfigurationAssembler();
  const part = { node: 'n1', version: 1, part: 0, parts: 1, text: 'bm90IGRlZmxhdGVk' };
  t.throws(() => assembler.add(part));
});

test('a node that is behind asks the peer that it heard last, as an earlier one may have died', (t) => {
  const clock = new ManualClock();
  const asked: string[] = [];
  const sync = new ConfigurationSync({
    node: 'n1',
    address: { host: 'own', port: 1 },
    clock,
    catalog: { version: 1, record: undefined, applyPeerConfiguration: () => undefined },
    peers: {
      requestConfiguration: (_request, { host }) => {
        asked.push(host);
        return Promise.resolve();
      },
      sendConfiguration: () => Promise.resolve(),
    },
    log: new DecisionLog({ node: 'n1', out: new PassThrough(), clock }),
  });
  sync.recordPeerVersion(2, { host: 'first', port: 1 });
  sync.update();
  clock.advance(400);
  sync.recordPeerVersion(2, { host: 'second', port: 1 });
  clock.advance(200);
  sync.update();
  t.deepEqual(asked, ['second']);
});

// Guards against: a sender of parts that belong to no configuration filled the memory of a node.
test('parts that cannot belong to a configuration are not held', (t) => {
  const assembler = new ConfigurationAssembler();
  const text = 'x'.repeat(64 * 1024);
  const sendParts = (first: number): void => {
    for (let part = first; part < first + 1_023; part += 1) {
      assembler.add({ node: 'n2', version: 7, part, parts: 1_024, text });
    }
  };
  t.notThrows(() => {
    sendParts(1_024);
  });
  t.throws(
    () => {
      sendParts(0);
    },
    { message: /too large/ },
  );
});
