import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import { ExitCode } from '@ragwortrudder/cli';
import { event } from './event.ts';
import { FakeNode } from './fake-node.ts';
import { runCaptured } from './run-captured.ts';

const SECRET = 'the-secret-key-of-a-caller';
const folder = await mkdtemp(join(tmpdir(), 'cli-'));
const keyFile = join(folder, 'caller.key');
await writeFile(keyFile, `${SECRET}\n`);
process.env.RAGWORTRUDDER_KEY = '';

test.after.always(() => rm(folder, { recursive: true, force: true }));

async function file(name: string, content: unknown): Promise<string> {
  const path = join(folder, name);
  await writeFile(path, typeof content === 'string' ? content : JSON.stringify(content));
  return path;
}

function options(...nodes: readonly { readonly address: string }[]): string[] {
  return [...nodes.flatMap(({ address }) => ['--node', address]), '--key-file', keyFile];
}

interface MoveVerdict {
  readonly word: 'done' | 'undone';
  readonly reason: string;
}

function ticket(
  inForce: Readonly<Record<string, boolean>>,
  verdicts: readonly (MoveVerdict | null)[] = [],
) {
  const moves = verdicts.map((word) => ({
    ...{ service: 'quotes', ticket: 2, from: 'v1', to: 'v2', position: 1024, startedAt: 0 },
    ...{ takeoverBy: 1000, word },
  }));
  return { number: 2, status: 'accepted', refusal: null, inForce, moves };
}
const REFUSED = {
  ...ticket({}),
  status: 'refused',
  refusal: { reason: 'changed-since', lostTo: 1, objects: ['services.quotes'] },
};
const STATUS = {
  node: { id: 'entry-1', failureDomain: 'a', region: 'r', state: 'ready' },
  log: { reachable: true, lagMs: 12, newestTicket: 2 },
  members: [{ nodeId: 'entry-1', failureDomain: 'a', state: 'alive', callerAddress: 'x' }],
  runners: [
    {
      ...{ id: 'vm-1', service: 'quotes', version: 'v2', failureDomain: 'a', state: 'ready' },
      ...{ setAside: true, loadAgeMs: null, inFlight: 3, limit: 8 },
    },
  ],
  moves: [{ moveId: 'quotes@1024', state: 'trial', plan: { share: 0.02, reason: '' } }],
  leases: [{ job: 'supply.quotes', holder: 'entry-2', fence: 4, endsInMs: 1500.4 }],
  supply: [
    {
      ...{ service: 'quotes', state: 'planning', wantedRunners: 6, heldVms: 5, pendingStarts: 1 },
      ...{ returningVms: 0, refusedKinds: 2, protectedRunners: 3 },
    },
  ],
  requests: { open: 1 },
  refusals: { overloaded: 7 },
};

test.serial('an invalid command line exits with the usage code', async (t) => {
  const lines: readonly (readonly string[])[] = [
    [],
    ['none'],
    ['ticket'],
    ['ticket', 'show', '0', '--node', '127.0.0.1:1'],
    ['status'],
    ['status', '--node', 'no-port', '--key-file', keyFile],
    ['status', '--node', '127.0.0.1:1', '--unknown'],
    ['status', '--node', '127.0.0.1:1'],
    ['request', 'quotes', ...options({ address: '127.0.0.1:1' })],
    ['request', 'q', '--prompt', 'a', '--operation', 'b', ...options({ address: '127.0.0.1:1' })],
  ];
  for (const line of lines) {
    const { code, err, out } = await runCaptured(line);
    t.is(code, ExitCode.usage, line.join(' '));
    t.regex(err, /^error: /);
    t.is(out, '');
  }
});

test.serial(
  'an invalid file exits with the code for invalid input and reports each problem',
  async (t) => {
    const settings = await file('bad.json', { node: { id: '' }, extra: 1 });
    const check = await runCaptured(['settings', 'check', settings]);
    t.is(check.code, ExitCode.invalid);
    t.regex(check.err, / - node.id: found ""; allowed: 1 to 64 letters/);
    t.regex(check.err, / - extra: found a name that is not known/);
    t.is((await runCaptured(['serve', '--settings', settings])).code, ExitCode.invalid);
    t.is((await runCaptured(['settings', 'check', join(folder, 'none')])).code, ExitCode.invalid);
    const node = { address: '127.0.0.1:1' };
    const bad = await file('ticket.json', { number: 1, against: 1, services: { a: 1 } });
    const submit = await runCaptured(['ticket', 'submit', bad, ...options(node)]);
    t.is(submit.code, ExitCode.invalid);
    t.regex(submit.err, / - services.a/);
    const text = await file('text.json', 'no json');
    t.is((await runCaptured(['ticket', 'submit', text, ...options(node)])).code, ExitCode.invalid);
  },
);

test.serial('failures are printed as JSON with --json', async (t) => {
  const { code, err } = await runCaptured(['settings', 'check', join(folder, 'none'), '--json']);
  t.is(code, ExitCode.invalid);
  t.like((JSON.parse(err) as { readonly error: object }).error, { code: 'file-unreadable' });
});

test.serial('calls the next node when one does not answer, and fails when none does', async (t) => {
  const node = await FakeNode.start();
  node.answers('GET /v1/status', [STATUS]);
  const unreachable = { address: '127.0.0.1:1' };
  const { code, out } = await runCaptured(['status', ...options(unreachable, node)]);
  t.is(code, ExitCode.ok);
  t.regex(out, /node {5}entry-1, ready, failure domain a/);
  t.regex(out, /vm-1 +quotes +v2 +a +ready, set aside +3\/8 +unknown/);
  t.regex(out, /quotes@1024 +trial/);
  t.regex(out, /supply.quotes +entry-2 +4 +1500 ms/);
  t.regex(out, /quotes +planning +6 +5 +1 +0 +2 +3/);
  t.regex(out, /overloaded +7/);
  const json = await runCaptured(['status', '--json', ...options(node)]);
  t.deepEqual(JSON.parse(json.out), STATUS);
  node.close();
  t.is((await runCaptured(['status', ...options(unreachable)])).code, ExitCode.unreachable);
});

test.serial('a refusal by a node has its own exit code and never prints the key', async (t) => {
  const node = await FakeNode.start();
  const problem = {
    ...{ title: 'a valid key is required', status: 401, detail: 'send a key' },
    ...{ code: 'unauthorized', retryable: false, notRun: true },
  };
  node.answers('GET /v1/status', [problem], 401);
  const { code, out, err } = await runCaptured(['status', ...options(node)]);
  node.close();
  t.is(code, ExitCode.refused);
  t.regex(err, /a valid key is required \[unauthorized\]/);
  t.notRegex(out + err, new RegExp(SECRET));
});

test.serial('ticket watch prints each change and ends when the move is done', async (t) => {
  const node = await FakeNode.start();
  node.answers('GET /v1/status', [STATUS]);
  node.answers('GET /v1/tickets/2', [
    ticket({ a: true, b: false }, [null]),
    ticket({ a: true, b: true }, [null]),
    ticket({ a: true, b: true }, [{ word: 'done', reason: 'no worse' }]),
  ]);
  const { code, out } = await runCaptured(['ticket', 'watch', '2', ...options(node)]);
  node.close();
  t.is(code, ExitCode.ok);
  t.regex(out, /in force {2}a yes, b not yet/);
  t.regex(out, /stage {5}quotes: trial, 2% of the requests/);
  t.regex(out, /quotes: v1 to v2 by .*: done \(no worse\)/);
});

test.serial('ticket watch ends when a ticket without moves is in force everywhere', async (t) => {
  const node = await FakeNode.start();
  node.answers('GET /v1/tickets/2', [ticket({ a: false }), ticket({ a: true })]);
  t.is((await runCaptured(['ticket', 'watch', '2', ...options(node)])).code, ExitCode.ok);
  node.close();
});

test.serial(
  'ticket watch has different exit codes for an undone move, a refused ticket and a time-out',
  async (t) => {
    const node = await FakeNode.start();
    const watch = async (report: unknown): Promise<Awaited<ReturnType<typeof runCaptured>>> => {
      node.answers('GET /v1/tickets/2', [report]);
      return runCaptured(['ticket', 'watch', '2', '--timeout', '0.6', ...options(node)]);
    };
    const undone = await watch(
      ticket({ a: true }, [{ word: 'undone', reason: 'too many failures' }]),
    );
    t.is(undone.code, ExitCode.undone);
    t.regex(undone.err, /the move of quotes was undone: too many failures/);
    const refused = await watch(REFUSED);
    t.is(refused.code, ExitCode.refused);
    t.regex(refused.err, /changed-since, lost to ticket 1 on services.quotes/);
    t.is((await watch(ticket({ a: false }))).code, ExitCode.timeout);
    node.close();
  },
);

test.serial('a request resumes at another node where its answer was interrupted', async (t) => {
  const [firstNode, secondNode] = [await FakeNode.start(), await FakeNode.start()];
  const id = 'r1.a.b.c';
  const token = (number: number, text: string) =>
    event(`1-${number}`, 'token', { index: number - 2, text });
  const firstStream = [event('1-1', 'accepted', { id }), token(2, 'one'), token(3, 'two')];
  const resumedStream = [token(3, 'two'), token(4, 'three'), event('1-5', 'done', { tokens: 3 })];
  for (const node of [firstNode, secondNode]) {
    node.streams('POST /v1/services/quotes/requests', [firstStream]);
    node.streams(`GET /v1/requests/${id}/events`, [resumedStream]);
  }
  const line = ['request', 'quotes', '--prompt', 'a', ...options(firstNode, secondNode)];
  const { code, out, err } = await runCaptured(line);
  firstNode.close();
  secondNode.close();
  t.is(code, ExitCode.ok);
  t.is(out, 'one two three\n');
  t.regex(err, /# reading on at /);
  t.is([...firstNode.calls, ...secondNode.calls].length, 2);
});

test.serial('the exit code of a failed request shows whether its outcome is known', async (t) => {
  const node = await FakeNode.start();
  const fail = async (outcome: unknown): Promise<number> => {
    node.streams('POST /v1/services/orders/requests', [
      [event('1-1', 'accepted', { id: 'r1.a' }), event('1-2', 'failed', { outcome })],
    ]);
    const line = ['request', 'orders', '--operation', 'reorder', '--key', 'k', ...options(node)];
    return (await runCaptured(line)).code;
  };
  const outcome = { title: 'failed', retryable: false, notRun: false };
  t.is(await fail({ ...outcome, code: 'outcome-unknown' }), ExitCode.unknown);
  t.is(await fail({ ...outcome, code: 'deadline-passed' }), ExitCode.timeout);
  t.is(await fail({ ...outcome, code: 'operation-failed' }), ExitCode.refused);
  node.close();
});

test.serial('key show prints the outcome of a request', async (t) => {
  const node = await FakeNode.start();
  node.answers('GET /v1/keys/a%2Fb', [{ key: 'a/b', word: 'completed', result: { number: 1 } }]);
  const { code, out } = await runCaptured(['key', 'show', 'a/b', ...options(node)]);
  node.close();
  t.is(code, ExitCode.ok);
  t.is(out, 'key a/b: completed\n  result   {"number":1}\n');
});
