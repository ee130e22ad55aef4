import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { PassThrough } from 'node:stream';
import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import { RunnerDirectory } from '@ragwortrudder/catalog';
import type { RunnerEntry } from '@ragwortrudder/catalog';
import { SystemClock } from '@ragwortrudder/core';
import { DecisionLog } from '../../packages/gateway/src/node/decision-log.ts';
import { RunnerLinks } from '../../packages/gateway/src/node/runner-links.ts';
import { incarnationOf } from '../../packages/gateway/src/utils/incarnation-of.ts';

/** Time in which a probe on the same machine ends, in milliseconds. */
const PROBE_MS = 200;

// Guards against telling a peer that a runner lives which has ended since it was last probed: the peer then
// takes the loss for a fault of its own link and drops its evidence against the request (BUDGET).
test('a probe from before a peer lost its link is no proof that the runner lives', async (t) => {
  const server = createServer((socket) => socket.end());
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const clock = new SystemClock();
  const directory = new RunnerDirectory({ clock });
  const entry: RunnerEntry = {
    ...{ id: 'i-1', service: 's', address: { host: '127.0.0.1', port }, failureDomain: 'a' },
    ...{ version: 'v1', slots: 8, isDraining: false, coldMs: 0, bornMs: 1, isSpot: false },
  };
  directory.put(entry);
  const links = new RunnerLinks({
    ...{ directory, clock },
    log: new DecisionLog({ node: 'n1', out: new PassThrough().resume(), clock }),
    lastProgressAt: () => 0,
    isInUse: () => false,
    isEvacuated: () => false,
    closeIdle: () => undefined,
    onChange: () => undefined,
  });
  const lost = new Set([incarnationOf(entry)]);
  links.probeFor([...lost]);
  await sleep(PROBE_MS);
  t.deepEqual(
    links.reachedFor(lost).map(({ id }) => id),
    ['i-1'],
  );
  await new Promise((resolve) => server.close(resolve));
  links.probeFor([...lost]);
  t.deepEqual(links.reachedFor(lost), [], 'before the new probe has ended');
  await sleep(PROBE_MS);
  t.deepEqual(links.reachedFor(lost), []);
  await links.close();
});
