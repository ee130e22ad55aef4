import test from 'ava';
import { SystemClock } from '@ragwortrudder/core';
import { SessionAffinity } from '@ragwortrudder/routing';
import { AttemptEvidence } from '../../packages/gateway/src/node/attempt-evidence.ts';
import { GatewayHarness } from './gateway-harness.ts';
import { ROUTE_KINDS } from './route-kinds.ts';
import { chunk, event, responseTo, streamHeadFor } from './scripted-response.ts';
import { ScriptedRunner } from './scripted-runner.ts';
import type { ReceivedRequest } from './scripted-runner.ts';

interface Recording {
  readonly record: (this: AttemptEvidence, ...args: Parameters<AttemptEvidence['record']>) => void;
}

interface SessionRecording {
  readonly record: (this: SessionAffinity, ...args: Parameters<SessionAffinity['record']>) => void;
}

const OK = 200;
const INTERNAL_ERROR = 500;
/** Time limit of the requests, in milliseconds; no attempt ends by itself before. */
const DEADLINE_MS = 20_000;
/** Time in which the end of a request reaches the runners, in milliseconds. */
const END_MS = 4_000;

for (const kind of ['idempotent', 'stream'] as const) {
  // Guards against attempts that go on at their runners after an error of the node has ended their request.
  test.serial(`${kind}: an error of the node ends all attempts at the request`, async (t) => {
    const evidence: Recording = AttemptEvidence.prototype;
    const { record } = evidence;
    const failing: Recording['record'] = function (...args) {
      const [outcome] = args;
      if (outcome.kind === 'broken') throw new RangeError('unexpected');
      record.apply(this, args);
    };
    Object.assign(evidence, { record: failing });
    t.teardown(() => Object.assign(evidence, { record }));
    const received: string[] = [];
    const create = (): ScriptedRunner =>
      new ScriptedRunner((socket, request) => {
        received.push(request.id);
        // The first runner is silent, the other one breaks off.
        if (received.length > 1) socket.resetAndDestroy();
      });
    const runners = await Promise.all([0, 1].map(() => create().listen()));
    const harness = await GatewayHarness.start(t, {
      runners,
      route: { ...ROUTE_KINDS[kind], timeout_ms: DEADLINE_MS, max_attempts: 3 },
    });
    const { status } = await harness.call({ headers: { 'Deadline-Ms': String(DEADLINE_MS) } });
    t.is(status, INTERNAL_ERROR);
    t.is(received.length, 2);
    const [id = ''] = received;
    const haveClosed = (): boolean => runners.every(({ closed }) => closed.includes(id));
    const until = performance.now() + END_MS;
    await harness.waitUntil(() => haveClosed() || performance.now() > until);
    t.true(haveClosed());
  });
}

const RESPONSES = {
  idempotent: (request: ReceivedRequest) => responseTo(request, 'served'),
  stream: (request: ReceivedRequest) => streamHeadFor(request) + chunk(event(1)) + chunk(''),
} as const;

for (const kind of ['idempotent', 'stream'] as const) {
  // Guards against a session that is looked for at a runner which has not served its request.
  test.serial(
    `${kind}: a session is recorded at the runner that has responded first`,
    async (t) => {
      const used = new Set<SessionAffinity>();
      const affinity: SessionRecording = SessionAffinity.prototype;
      const { record } = affinity;
      const observing: SessionRecording['record'] = function (...args) {
        used.add(this);
        record.apply(this, args);
      };
      Object.assign(affinity, { record: observing });
      t.teardown(() => Object.assign(affinity, { record }));
      const answers: (() => void)[] = [];
      const create = (): ScriptedRunner =>
        new ScriptedRunner((socket, request) => {
          answers.push(() => socket.write(RESPONSES[kind](request)));
          // The first runner goes on once the request is tried at the other one.
          if (answers.length > 1) answers[0]?.();
        });
      const runners = await Promise.all([0, 1].map(() => create().listen()));
      const harness = await GatewayHarness.start(t, {
        runners,
        route: { ...ROUTE_KINDS[kind], timeout_ms: DEADLINE_MS, max_attempts: 3 },
      });
      const call = harness.call({
        headers: { 'Prompt-Prefix': 'aa:10,bb:20', 'Deadline-Ms': String(DEADLINE_MS) },
      });
      await harness.waitUntil(() => answers.length > 0);
      const first = runners.findIndex(({ received }) => received.length > 0);
      t.is((await call).status, OK);
      t.is(answers.length, 2);
      const now = new SystemClock().monotonic();
      const found = [...used].map((sessions) => sessions.find('aa', now));
      t.deepEqual(found, [`r${first}`]);
    },
  );
}
