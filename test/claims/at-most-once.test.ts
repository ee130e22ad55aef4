import test from 'ava';
import fc from 'fast-check';
import type { AsyncCommand, RunDetails, Scheduler } from 'fast-check';
import { ClaimEntry, claimFold, findClaim } from '@ragwortrudder/claims';
import type { ClaimRecord, ClaimState } from '@ragwortrudder/claims';
import type { Entry, Fold } from '@ragwortrudder/log';
import { Cluster } from './cluster.ts';

const NODES = 3;
const KEYS = ['reorder-1', 'reorder-2'];
const DIGESTS = ['bleach', 'soap'];
const SEED = 20_261;
const RUNS = 2_000;

interface Model {
  readonly name: string;
}
type Command = AsyncCommand<Model, Cluster>;

function command(name: string, effect: (cluster: Cluster) => void): Command {
  return {
    check: () => true,
    run: (_model, cluster) => {
      effect(cluster);
      return Promise.resolve();
    },
    toString: () => name,
  };
}

const nodeIndex = fc.integer({ min: 0, max: NODES - 1 });
const call = fc
  .tuple(nodeIndex, fc.constantFrom('reorder-1', ...KEYS), fc.constantFrom('bleach', ...DIGESTS))
  .map(([node, key, digest]) =>
    command(`call(${node}, ${key}, ${digest})`, (cluster) => {
      cluster.call(node, key, digest);
    }),
  );
const kill = nodeIndex.map((node) =>
  command(`kill(${node})`, (cluster) => {
    cluster.kill(node);
  }),
);
const suspect = nodeIndex.map((node) =>
  command(`suspect(${node})`, (cluster) => {
    cluster.suspect(node);
  }),
);
const setLog = fc.boolean().map((down) =>
  command(down ? 'log down' : 'log up', (cluster) => {
    cluster.log.down = down;
  }),
);
const commands = fc.commands([call, call, call, kill, suspect, setLog], {
  maxCommands: 24,
  size: 'max',
});

function violations(cluster: Cluster): readonly string[] {
  const { executions, settled } = cluster;
  const violationsFound: string[] = [];
  for (const key of KEYS) {
    const runs = executions.filter((execution) => execution.key === key);
    if (runs.length > 1) violationsFound.push(`${key} ran ${runs.length} times`);
    const [run] = runs;
    const record = findClaim(cluster.state(), 'novak', key);
    if (run && record?.phase === 'not-run')
      violationsFound.push(`${key} ran but its outcome is not-run`);
    if (record?.phase === 'completed' && !run)
      violationsFound.push(`${key} is completed but never ran`);
    if (run && record?.requestDigest !== run.requestDigest)
      violationsFound.push(`${key} ran with a request other than the recorded one`);
    if (!record) continue;
    const finalDecision = cluster.observe(key, record.requestDigest);
    if (finalDecision.kind === 'wait') violationsFound.push(`${key} has no final decision`);
    if (run && finalDecision.kind === 'run') violationsFound.push(`${key} could run again`);
  }
  for (const { invocation, word } of settled) {
    const run = executions.find((execution) => execution.invocation === invocation.id);
    if ((word === 'not-run' || word === 'key-reused') && run) {
      violationsFound.push(`request ${invocation.id} ran and was answered ${word}`);
    }
    const ran = executions.some(({ key }) => key === invocation.key);
    if (word === 'completed' && !ran)
      violationsFound.push(`request ${invocation.id} completed without a run`);
  }
  return violationsFound;
}

interface Trial {
  readonly scheduler: Scheduler;
  readonly seed: number;
  readonly steps: Iterable<Command>;
}

async function runTrial(fold: Fold<ClaimState>, trial: Trial): Promise<Cluster> {
  const { scheduler, seed, steps } = trial;
  const cluster = new Cluster({ scheduler, fold, seed, nodes: NODES });
  await fc.scheduledModelRun(
    scheduler,
    () => ({ model: { name: 'claims' }, real: cluster }),
    steps,
  );
  cluster.log.down = false;
  await scheduler.waitIdle();
  cluster.sweep();
  await scheduler.waitIdle();
  const violationsFound = violations(cluster);
  if (violationsFound.length > 0) throw new Error(violationsFound.join('; '));
  return cluster;
}

type Outcome = RunDetails<[Scheduler, number, Iterable<Command>]>;

function check(fold: Fold<ClaimState>, onCluster?: (cluster: Cluster) => void): Promise<Outcome> {
  return Promise.resolve(
    fc.check(
      fc.asyncProperty(fc.scheduler(), fc.nat(), commands, async (scheduler, seed, steps) => {
        const cluster = await runTrial(fold, { scheduler, seed, steps });
        onCluster?.(cluster);
      }),
      { seed: SEED, numRuns: RUNS, endOnFailure: true },
    ),
  );
}

test('a request runs at most once and every result is correct, under pauses, kills and log faults', async (t) => {
  let executions = 0;
  let answers = 0;
  const outcome = await check(claimFold(), (cluster) => {
    executions += cluster.executions.length;
    answers += cluster.settled.length;
  });
  t.false(outcome.failed, `${String(outcome.errorInstance)}\n${fc.defaultReportMessage(outcome)}`);
  t.true(executions > RUNS / 4);
  t.true(answers > executions);
  t.log(`${RUNS} runs, ${executions} executions, ${answers} answers`);
});

/** Fold with one rule disabled: the record is changed before an entry that should have no effect. */
function mutatedFold(
  change: (record: ClaimRecord, body: ClaimEntry) => Partial<ClaimRecord>,
): Fold<ClaimState> {
  const fold = claimFold();
  return {
    initial: fold.initial,
    apply: (state: ClaimState, entry: Entry): ClaimState => {
      const body = ClaimEntry.parse(entry.body);
      const record = findClaim(state, body.tenant, body.key);
      if (!record) return fold.apply(state, entry);
      const changed = { ...record, ...change(record, body) };
      const text = JSON.stringify(state).replace(JSON.stringify(record), JSON.stringify(changed));
      return fold.apply(JSON.parse(text) as ClaimState, entry);
    },
  };
}

test('the property fails if a takeover is effective after `sending`', async (t) => {
  const outcome = await check(
    mutatedFold((record, body) =>
      body.type === 'takeover' && record.phase === 'sending' ? { phase: 'claimed' } : {},
    ),
  );
  t.true(outcome.failed);
  t.regex(String(outcome.errorInstance), /ran \d times/);
});

test('the property fails if a `sending` of another node is effective', async (t) => {
  const outcome = await check(
    mutatedFold((record, body) =>
      body.type === 'sending' && record.phase === 'sending'
        ? { phase: 'claimed', owner: { node: body.node, incarnation: body.incarnation } }
        : {},
    ),
  );
  t.true(outcome.failed);
  t.regex(String(outcome.errorInstance), /ran \d times/);
});
