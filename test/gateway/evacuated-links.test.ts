import { Writable } from 'node:stream';
import test from 'ava';
import { RunnerDirectory } from '@ragwortrudder/catalog';
import type { RunnerEntry } from '@ragwortrudder/catalog';
import { ManualClock } from '@ragwortrudder/core';
import { DecisionLog } from '../../packages/gateway/src/node/decision-log.ts';
import { RunnerLinks } from '../../packages/gateway/src/node/runner-links.ts';
import { incarnationOf } from '../../packages/gateway/src/utils/incarnation-of.ts';

function entryOf(id: string, failureDomain: string): RunnerEntry {
  return {
    id,
    service: 's',
    address: { host: '127.0.0.1', port: 1 },
    failureDomain,
    version: 'v1',
    slots: 1,
    isDraining: false,
    coldMs: 0,
    bornMs: 1,
    isSpot: false,
  };
}

const EVACUATED = entryOf('a1', 'a');
const LOST = [entryOf('b1', 'b'), entryOf('b2', 'b')] as const;

function createLinks(evacuated: ReadonlySet<string>): RunnerLinks {
  const clock = new ManualClock();
  const directory = new RunnerDirectory({ clock });
  for (const entry of [EVACUATED, ...LOST]) directory.put(entry);
  const out = new Writable({
    write: (_chunk, _encoding, done) => {
      done();
    },
  });
  const links = new RunnerLinks({
    directory,
    clock,
    log: new DecisionLog({ node: 'n1', out, clock }),
    lastProgressAt: () => 0,
    isEvacuated: ({ failureDomain }) => evacuated.has(failureDomain),
    isInUse: () => false,
    closeIdle: () => undefined,
    onChange: () => undefined,
  });
  for (const entry of LOST) links.recordFailure(entry, 'refused');
  links.recordReachedByPeer(incarnationOf(LOST[1]));
  return links;
}

// Guards against runners that are blamed for lost links because an evacuated domain, to which nothing is sent, looks reachable (EVACUATION).
test('a runner of an evacuated domain does not prove that the links of a node are sound', (t) => {
  t.false(createLinks(new Set()).isOwnFault(LOST[0]));
  t.true(createLinks(new Set(['a'])).isOwnFault(LOST[0]));
});

test('without other runners an evacuated domain proves nothing', (t) => {
  const links = createLinks(new Set(['a', 'b']));
  t.false(links.isOwnFault(LOST[0]));
  t.false(links.isOwnFault(EVACUATED));
});
