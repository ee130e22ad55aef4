import test from 'ava';
import { RequestTracker } from '@ragwortrudder/soak';
import type { RequestKind, ObservedAnswer, ObservedRun } from '@ragwortrudder/soak';

function recordSent(tracker: RequestTracker, id: string, kind: RequestKind, events = 0): void {
  tracker.recordRequest({ id, kind, node: 'n1', team: 't', body: 'b', events, at: 0 });
}

function run(id: string, change: Partial<ObservedRun> = {}): ObservedRun {
  return { id, runner: 'r1', team: 't', body: 'b', after: 0, at: 1, ...change };
}

function answer(id: string, change: Partial<ObservedAnswer> = {}): ObservedAnswer {
  return {
    id,
    status: 200,
    signature: `r1.${id}`,
    body: `done ${id}`,
    isWhole: true,
    at: 2,
    ...change,
  };
}

function violatedPromises(tracker: RequestTracker): readonly string[] {
  return tracker.check().map(({ promise }) => promise);
}

test('a request that runs once and gets a complete response violates no promise', (t) => {
  const tracker = new RequestTracker();
  recordSent(tracker, 'a', 'order');
  tracker.recordRun(run('a'));
  tracker.recordAnswer(answer('a'));
  t.deepEqual(violatedPromises(tracker), []);
});

test('an order that runs twice is a violation, a read that runs twice is not', (t) => {
  const tracker = new RequestTracker();
  recordSent(tracker, 'a', 'order');
  recordSent(tracker, 'b', 'read');
  for (const runner of ['r1', 'r2']) {
    tracker.recordRun(run('a', { runner }));
    tracker.recordRun(run('b', { runner }));
  }
  t.deepEqual(violatedPromises(tracker), ['at-most-once']);
});

test('a refusal of a request that runs, even afterwards, is a violation', (t) => {
  const tracker = new RequestTracker();
  recordSent(tracker, 'a', 'draft', 3);
  tracker.recordAnswer(answer('a', { status: 503, signature: undefined, body: '' }));
  tracker.recordRun(run('a'));
  t.deepEqual(violatedPromises(tracker), ['true-refusal']);
});

test('runs that no caller requested, or with another body or team, are violations', (t) => {
  const tracker = new RequestTracker();
  recordSent(tracker, 'a', 'read');
  tracker.recordRun(run('x'));
  tracker.recordRun(run('a', { body: 'other' }));
  tracker.recordRun(run('a', { team: undefined }));
  t.deepEqual(violatedPromises(tracker), ['unasked', 'unasked', 'unasked']);
});

test('a response to another request, without a run, or truncated but framed as complete is a violation', (t) => {
  const tracker = new RequestTracker();
  for (const id of ['a', 'b', 'c']) recordSent(tracker, id, 'order');
  tracker.recordRun(run('a'));
  tracker.recordRun(run('b'));
  tracker.recordAnswer(answer('a', { body: 'done b' }));
  tracker.recordAnswer(answer('b', { body: 'do' }));
  tracker.recordAnswer(answer('c'));
  t.deepEqual(violatedPromises(tracker), ['own-answer', 'own-answer', 'own-answer']);
});

test('a stream may be cut off, but must not skip, repeat or end early', (t) => {
  const event = (id: string, number: number): string =>
    `id: ${number}\ndata: ${id} ${number}/3\n\n`;
  const tracker = new RequestTracker();
  const bodies = new Map<string, readonly [readonly number[], boolean]>([
    ['broken-off', [[1, 2], false]],
    ['whole', [[1, 2, 3], true]],
    ['early', [[1, 2], true]],
    ['skips', [[1, 3], false]],
    ['repeats', [[1, 2, 2, 3], true]],
  ]);
  for (const [id, [numbers, isWhole]] of bodies) {
    recordSent(tracker, id, 'ask', 3);
    tracker.recordRun(run(id));
    const body = numbers.map((number) => event(id, number)).join('');
    tracker.recordAnswer(answer(id, { body, isWhole }));
  }
  const ids = tracker
    .check()
    .filter(({ promise }) => promise === 'stream-order')
    .map(({ message }) => message.split(' ')[0]);
  t.deepEqual(ids, ['early', 'skips', 'repeats']);
});

// Guards against a check that passes over streams that end as another success or without their runner.
test('a stream that succeeds with another status or without a signature of its runs is a violation', (t) => {
  const tracker = new RequestTracker();
  const changes: Readonly<Record<string, Partial<ObservedAnswer>>> = {
    'no-content': { status: 204, body: '' },
    partial: { status: 206 },
    unsigned: { signature: undefined },
    foreign: { signature: 'r3.foreign' },
    resumed: { signature: 'r1.resumed' },
  };
  for (const [id, change] of Object.entries(changes)) {
    recordSent(tracker, id, 'ask', 1);
    tracker.recordRun(run(id));
    tracker.recordRun(run(id, { runner: 'r2', after: 1 }));
    const body = `id: 1\ndata: ${id} 1/1\n\n`;
    tracker.recordAnswer(answer(id, { body, ...change }));
  }
  const violations = tracker.check();
  t.deepEqual(
    violations.map(({ promise, message }) => `${promise} ${message.split(' ')[0] ?? ''}`),
    ['no-content', 'partial', 'unsigned', 'foreign'].map((id) => `own-answer ${id}`),
  );
});

test('a sound request that is rejected for its prompt is a violation, one that crashes runners is not', (t) => {
  const tracker = new RequestTracker();
  recordSent(tracker, 'a', 'ask', 3);
  tracker.recordRequest({
    ...{ id: 'b', kind: 'ask', node: 'n1', team: 't', body: 'b', events: 3, at: 0 },
    crashes: 'bad1',
  });
  for (const id of ['a', 'b']) {
    const body = '{"code":"prompt-quarantined"}';
    tracker.recordAnswer(answer(id, { status: 503, signature: undefined, body }));
  }
  t.deepEqual(violatedPromises(tracker), ['sound-prompt']);
});

test('runs with a part that has crashed five runners are a violation from the bound on', (t) => {
  const now = performance.now();
  const late = (runs: number): readonly string[] => {
    const tracker = new RequestTracker();
    for (let index = 0; index < 5; index += 1) tracker.recordCrash('bad1');
    for (let index = 0; index < runs; index += 1) {
      const id = `q${index}`;
      tracker.recordRequest({
        ...{ id, kind: 'ask', node: 'n1', team: 't', body: 'b', events: 3, at: 0 },
        crashes: 'bad1',
      });
      tracker.recordRun(run(id, { at: now + 60_000 }));
    }
    return violatedPromises(tracker);
  };
  t.deepEqual(late(3), []);
  t.deepEqual(late(4), ['crashing-prompt']);
});

test('more runs in four seconds than a stated limit allows are a violation, unless a node was stopped', (t) => {
  const check = (isExcused: boolean): readonly string[] => {
    const tracker = new RequestTracker();
    tracker.recordLimit('r1', 2);
    if (isExcused) tracker.recordFault('node-kill');
    const now = performance.now();
    for (let index = 0; index < 18; index += 1) {
      recordSent(tracker, `q${index}`, 'read');
      tracker.recordRun(run(`q${index}`, { at: now + 3_500 + index }));
    }
    return violatedPromises(tracker);
  };
  t.deepEqual(check(false), ['limit']);
  t.deepEqual(check(true), []);
});

test('runs of a request that has crashed three runners are a violation from the bound on', (t) => {
  const now = performance.now();
  const late = (runs: number): readonly string[] => {
    const tracker = new RequestTracker();
    for (let index = 0; index < 3; index += 1) tracker.recordCrash('crash1');
    for (let index = 0; index < runs; index += 1) {
      const id = `q${index}`;
      tracker.recordRequest({
        ...{ id, kind: 'read', node: 'n1', team: 't', body: 'b', events: 0, at: 0 },
        crashes: 'crash1',
      });
      tracker.recordRun(run(id, { at: now + 60_000 }));
    }
    return violatedPromises(tracker);
  };
  t.deepEqual(late(3), []);
  t.deepEqual(late(4), ['crashing-request']);
});

test('a run at a runner that is leaving is a violation for the node that was told, until it has left', async (t) => {
  const check = async (
    node: string,
    isStopped = false,
    hasLeft = false,
  ): Promise<readonly string[]> => {
    const tracker = new RequestTracker();
    tracker.recordToldLeaving(node, 'r1');
    if (isStopped) tracker.recordFault('node-kill');
    const at = performance.now() + 2_500;
    tracker.recordRequest({
      ...{ id: 'a', kind: 'read', node: 'n1', team: 't', body: 'b', events: 0, at },
    });
    if (hasLeft) tracker.recordLeft('r1');
    tracker.recordRun(run('a', { at: at + 10 }));
    if (!hasLeft) {
      await new Promise((resolve) => setTimeout(resolve, 2_600));
      tracker.recordLeft('r1');
    }
    return violatedPromises(tracker);
  };
  const results = await Promise.all([
    check('n1'),
    check('n2'),
    check('n1', true),
    check('n1', false, true),
  ]);
  t.deepEqual(results, [['leaving'], [], [], []]);
});

test('nodes without links to runners that serve far less than the others are a violation', (t) => {
  for (const servedThere of [0, 40]) {
    const tracker = new RequestTracker();
    for (let index = 0; index < 40; index += 1) {
      for (const node of ['n1', 'n2']) {
        const id = `${node}-${index}`;
        const at = 5_000 + index;
        tracker.recordRequest({ id, kind: 'read', node, team: 't', body: 'b', events: 0, at });
        const isServed = node === 'n2' || index < servedThere;
        if (isServed) tracker.recordRun(run(id, { at }));
        tracker.recordAnswer(answer(id, isServed ? { at } : { at, status: 503, body: '' }));
      }
    }
    tracker.recordCutOff({ nodes: ['n1'], from: 1_000, until: 6_000 });
    t.deepEqual(violatedPromises(tracker), servedThere === 0 ? ['cut-off-nodes'] : []);
  }
});

test('more requests to a resting runner than each node may send are a violation', async (t) => {
  for (const count of [5, 12]) {
    const tracker = new RequestTracker(3);
    tracker.recordRest('r1', 3_000);
    await new Promise((resolve) => setTimeout(resolve, 550));
    for (let index = 0; index < count; index += 1) tracker.recordDisturbed('r1');
    t.deepEqual(violatedPromises(tracker), count === 12 ? ['rest'] : []);
  }
});

test('runs in an evacuated domain are violations 5 s after the order, unless the store had a fault', (t) => {
  const violationsOf = (at: number, runner = 'r1', isExcused = false): readonly string[] => {
    const tracker = new RequestTracker();
    recordSent(tracker, 'a', 'read');
    tracker.recordRun(run('a', { runner, at }));
    if (isExcused) tracker.recordFault('store-silent')();
    tracker.recordEvacuation({ runners: ['r1'], from: 1_000, until: 10_000 });
    return violatedPromises(tracker);
  };
  t.deepEqual(violationsOf(5_900), []);
  t.deepEqual(violationsOf(6_100), ['evacuation']);
  t.deepEqual(violationsOf(6_100, 'r2'), []);
  t.deepEqual(violationsOf(10_100), []);
  t.deepEqual(violationsOf(6_100, 'r1', true), []);
});
