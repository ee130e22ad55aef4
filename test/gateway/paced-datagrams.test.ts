import test from 'ava';
import { SystemClock } from '@ragwortrudder/core';
import type { Address } from '@ragwortrudder/catalog';
import { PacedDatagrams } from '../../packages/gateway/src/node/paced-datagrams.ts';

const BYTES_PER_SECOND = 500_000;
/** A group of datagrams, and the one that exceeds it. */
const MAX_BURST_BYTES = 12_000;
const DATAGRAM = Buffer.alloc(2_000);

function addressesFor(count: number): readonly Address[] {
  return Array.from({ length: count }, (_item, index) => ({ host: '127.0.0.1', port: index + 1 }));
}

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => setTimeout(resolve, 2));
}

// Guards against digests that fill the link of a node, so that it reaches neither runners nor the log (CONFIG, GONE).
test('pattern: many receivers; datagrams leave in small groups, at the given rate', async (t) => {
  const sentAt: number[] = [];
  const paced = new PacedDatagrams({
    clock: new SystemClock(),
    bytesPerSecond: BYTES_PER_SECOND,
    send: () => sentAt.push(performance.now()),
  });
  t.teardown(() => paced.close());
  const startedAt = performance.now();
  paced.add({ key: 'a', bytes: DATAGRAM, addresses: addressesFor(65) });
  t.true(sentAt.length * DATAGRAM.length <= MAX_BURST_BYTES);
  await waitUntil(() => sentAt.length === 65);
  const shortestMs = ((65 * DATAGRAM.length - MAX_BURST_BYTES) * 1_000) / BYTES_PER_SECOND;
  t.true(performance.now() - startedAt >= shortestMs);
});

test('a job that still waits is not added again, and an urgent one goes first', async (t) => {
  const sent: string[] = [];
  const paced = new PacedDatagrams({
    clock: new SystemClock(),
    bytesPerSecond: BYTES_PER_SECOND,
    send: (bytes) => sent.push(bytes.toString().trimEnd()),
  });
  t.teardown(() => paced.close());
  const job = (key: string, count: number, isUrgent = false): boolean =>
    paced.add({
      key,
      bytes: Buffer.from(key.padEnd(2_000)),
      addresses: addressesFor(count),
      isUrgent,
    });
  t.true(job('first', 10));
  t.false(job('first', 10));
  t.true(job('next', 2));
  t.true(job('urgent', 2, true));
  await waitUntil(() => sent.length === 14);
  t.true(sent.lastIndexOf('urgent') < sent.lastIndexOf('first'));
  t.true(sent.lastIndexOf('first') < sent.indexOf('next'));
  t.true(job('first', 1));
});

// Guards against digests that name a node after it has told its peers that it leaves.
test('once closed, nothing more is sent, neither what waits nor what comes later', async (t) => {
  let sent = 0;
  const paced = new PacedDatagrams({
    clock: new SystemClock(),
    bytesPerSecond: BYTES_PER_SECOND,
    send: () => {
      sent += 1;
    },
  });
  paced.add({ key: 'a', bytes: DATAGRAM, addresses: addressesFor(65) });
  const sentBefore = sent;
  await paced.close();
  t.false(paced.add({ key: 'b', bytes: DATAGRAM, addresses: addressesFor(1) }));
  await new Promise((resolve) => setTimeout(resolve, 60));
  t.is(sent, sentBefore);
});
