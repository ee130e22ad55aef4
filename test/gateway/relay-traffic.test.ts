import { Socket, createSocket } from 'node:dgram';
import { PassThrough } from 'node:stream';
import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { ProcessorMeter, SystemClock } from '@ragwortrudder/core';
import { freeAddresses, parseAddress } from '@ragwortrudder/standins';
import { DecisionLog } from '../../packages/gateway/src/node/decision-log.ts';
import { Peers } from '../../packages/gateway/src/node/peers.ts';
import type { DomainDigest } from '../../packages/gateway/src/types/domain-digest.ts';
import type { NodeReport } from '../../packages/gateway/src/types/node-report.ts';

interface TestRelay {
  readonly peers: Peers;
  /** Bytes that it has sent to the other nodes. */
  readonly sentBytes: () => number;
}

const LINK_MBPS = 10;
/** Half of the link, in bytes for each second. */
const ALLOWED_BYTES_PER_S = (LINK_MBPS * 1_000_000) / 8 / 2;
const NODES_PER_DOMAIN = 16;
const REMOTE_DOMAINS: readonly string[] = ['b', 'c', 'd'];
const RUNNERS = 75;
const COUNTED_MS = 3_000;
const MS_PER_S = 1_000;
const LATEST_MS = 20;

function idsOf(failureDomain: string): readonly string[] {
  return Array.from(
    { length: NODES_PER_DOMAIN },
    (_item, index) => `${failureDomain}${index + 10}`,
  );
}

/** An id of ten hexadecimal digits that no compression shortens much. */
function hexOf(seed: number): string {
  return ((seed * 0x9e3779b97f4a7) % 0x10000000000).toString(16).padStart(10, '0');
}

function reportOf(node: string, failureDomain: string, sequence: number, port: number): NodeReport {
  return {
    ...{ node, failureDomain, sequence, port, host: '127.0.0.1', life: 1, now: 1 },
    ...{ work: {}, taken: {}, usage: {}, demand: {}, duty: 0, isLeaving: false },
    ...{ readsLocalDigests: true, readsCompressed: true },
  };
}

/** Digest of a domain in which many requests were interrupted. */
function digestOf(relay: string, members: DomainDigest['members'], sequence: number): DomainDigest {
  const runners = Array.from({ length: RUNNERS }, (_item, index) => `i-${hexOf(index + 1)}`);
  const interrupted = Array.from({ length: 64 }, (_item, index) => ({
    runner: `${runners[index % RUNNERS] ?? ''} 1784621092102`,
    request: hexOf(1_000 + index),
    parts: [hexOf(2_000 + index), hexOf(3_000 + index), hexOf(4_000 + index)],
    hasResponded: false,
    ageMs: 100 * index,
  }));
  return {
    ...{ relay, failureDomain: relay.slice(0, 1), life: 1, sequence, members, taken: {} },
    work: Object.fromEntries(runners.map((id, index) => [id, [index, 977 * index, 7_919 * index]])),
    prompts: { interrupted, served: {}, servedCount: 100, quarantined: [] },
    readsCompressed: true,
  };
}

async function bindSocket(t: ExecutionContext): Promise<Socket> {
  const socket = createSocket({ type: 'udp4', recvBufferSize: 4 * 1024 * 1024 });
  await new Promise<void>((resolve) => {
    socket.bind(0, '127.0.0.1', resolve);
  });
  t.teardown(() => {
    socket.close();
  });
  return socket;
}

/** Counts what is sent by sockets other than `others`: a receiver would miss what its buffer has no room for. */
function countSent(t: ExecutionContext, others: Socket): () => number {
  let bytes = 0;
  const send = Reflect.get(Socket.prototype, 'send') as (...args: readonly unknown[]) => void;
  Socket.prototype.send = function (this: Socket, ...args: readonly unknown[]): void {
    if (this !== others) bytes += Buffer.byteLength(args[0] as Buffer);
    Reflect.apply(send, this, args);
  };
  t.teardown(() => {
    Socket.prototype.send = send as Socket['send'];
  });
  return () => bytes;
}

/** Starts the relay of a deployment of 64 nodes; the others are one socket that reports for all of them. */
async function startRelay(t: ExecutionContext): Promise<TestRelay> {
  const [address = ''] = await freeAddresses(1);
  const { host, port } = parseAddress(address);
  const clock = new SystemClock();
  const others = await bindSocket(t);
  const othersPort = others.address().port;
  const sentBytes = countSent(t, others);
  let digests = 0;
  const peers = new Peers({
    node: 'a0',
    address: { host, port },
    failureDomain: 'a',
    clock,
    linkMbps: LINK_MBPS,
    log: new DecisionLog({ node: 'a0', out: new PassThrough().resume(), clock }),
    processor: new ProcessorMeter(),
    dutyToken: () => 0,
    createReport: () => reportOf('a0', 'a', 1, port),
    createDigest: (members) => {
      digests += 1;
      return digestOf('a0', members, digests);
    },
    onReport: () => undefined,
    onDigest: () => undefined,
    onPromptAnnouncement: () => undefined,
    onConfigurationRequest: () => undefined,
    onConfigurationPart: () => undefined,
    onFeed: () => undefined,
    onQuotaLevels: () => undefined,
  });
  t.teardown(() => peers.close());
  await peers.start();
  const send = (method: string, params: object): void => {
    others.send(JSON.stringify({ jsonrpc: '2.0', method, params }), port, host);
  };
  let sequence = 0;
  const tell = (): void => {
    sequence += 1;
    for (const id of idsOf('a')) send('report', reportOf(id, 'a', sequence, othersPort));
    for (const domain of REMOTE_DOMAINS) {
      const members = Object.fromEntries(
        idsOf(domain).map((id) => [id, [host, othersPort, 0] satisfies [string, number, number]]),
      );
      send('digest', {
        ...digestOf(`${domain}10`, members, sequence),
        work: {},
        prompts: undefined,
      });
    }
  };
  tell();
  const timer = setInterval(tell, 100);
  t.teardown(() => {
    clearInterval(timer);
  });
  while (peers.reachableCount < (REMOTE_DOMAINS.length + 1) * NODES_PER_DOMAIN) await sleep(20);
  return { peers, sentBytes };
}

// Guards against digests that fill the link of a relay, so that it reaches neither runners nor the log, keeps an older
// configuration, and holds requests past their time-outs (CONFIG, GONE).
test('pattern: 64 nodes and many interrupted requests; a relay leaves half of its link to requests', async (t) => {
  const { peers, sentBytes } = await startRelay(t);
  t.true(peers.isRelay);
  // What was sent before the other nodes told which messages they read does not count.
  await sleep(MS_PER_S);
  const before = sentBytes();
  const startedAt = performance.now();
  await sleep(COUNTED_MS);
  const seconds = (performance.now() - startedAt + LATEST_MS) / MS_PER_S;
  const bytesPerS = (sentBytes() - before) / seconds;
  t.true(bytesPerS > 0);
  t.true(bytesPerS <= ALLOWED_BYTES_PER_S, `${Math.round(bytesPerS)} bytes a second`);
});
