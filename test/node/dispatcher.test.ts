import test from 'ava';
import { SeededRandom } from '@ragwortrudder/core';
import { CacheDirectory } from '@ragwortrudder/routing';
import type { RunnerIdentity, RunnerView } from '@ragwortrudder/routing';
import type { VersionMoves } from '../../packages/node/src/node/moves/version-moves.ts';
import { AttemptHistory } from '../../packages/node/src/node/requests/attempt-history.ts';
import type { OwnedRequest } from '../../packages/node/src/node/requests/owned-request.ts';
import { Dispatcher } from '../../packages/node/src/node/runners/dispatcher.ts';
import { Runner } from '../../packages/node/src/node/runners/runner.ts';
import type { RunnerPool } from '../../packages/node/src/node/runners/runner-pool.ts';

const SEEDS = 20;

function runnerOf(id: string, version: string): Runner {
  const identity: RunnerIdentity = {
    ...{ id, endpoint: id, failureDomain: 'a', service: 'quotes' },
    ...{ version, kind: 'model' },
  };
  const runner = new Runner({ identity, initialLimit: 8, minSilenceMs: 500 });
  runner.tracker.setState('ready');
  return runner;
}

function poolOf(runners: readonly Runner[]): RunnerPool {
  const view = ({ tracker }: Runner): RunnerView => tracker.view(0);
  return {
    cache: new CacheDirectory(),
    find: (id: string) => runners.find(({ identity }) => identity.id === id),
    view,
    views: (_service: string, version?: string) =>
      runners
        .filter(({ identity }) => version === undefined || identity.version === version)
        .map(view),
  } as unknown as RunnerPool;
}

function ownedOf(attempts: AttemptHistory): OwnedRequest {
  const input = { kind: 'model', prompt: 'one two three', maxTokens: 5 };
  const request = { id: 'r', service: 'quotes', class: 'interactive', input };
  return { request, attempts, events: { tokens: [] } } as unknown as OwnedRequest;
}

function dispatcherOf(runners: readonly Runner[], seed: number): Dispatcher {
  const moves = {
    versionsFor: () => ['v2', 'v1'],
    record: () => undefined,
  } as unknown as VersionMoves;
  const settings = { node: { failureDomain: 'a' }, runners: { policy: 'estimate' } };
  return new Dispatcher(settings as never, new SeededRandom(seed), poolOf(runners), moves);
}

test('the next attempt is assigned to the runner that holds the KV cache of the request', (t) => {
  const runners = ['a', 'b', 'c', 'd'].map((id) => runnerOf(id, 'v2'));
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const attempts = new AttemptHistory();
    attempts.prefer('c');
    const assignment = dispatcherOf(runners, seed).assign(ownedOf(attempts));
    t.is(assignment?.runner.identity.id, 'c');
    assignment?.runner.limit.release({ outcome: 'ignored', latencyMs: 0 }, 0);
  }
});
