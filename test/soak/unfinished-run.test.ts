import { spawn } from 'node:child_process';
import {
  existsSync,
  mkdirSync,
  mkdtempSync,
  readFileSync,
  symlinkSync,
  writeFileSync,
} from 'node:fs';
import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import test from 'ava';
import { Soak, statusOf } from '@ragwortrudder/soak';
import type { SoakResult } from '@ragwortrudder/soak';

const CHECKOUT = fileURLToPath(new URL('../..', import.meta.url));
const MAIN = join(CHECKOUT, 'packages/soak/src/cli/soak.ts');
/** Errors that nothing in the soak handles, on signals that it does not handle. */
const FAULTY =
  'data:text/javascript,process.on("SIGUSR2",()=>{Promise.reject(new Error("odd rejection"))});process.on("SIGCONT",()=>{throw new Error("odd exception")})';
const POLL_MS = 50;
/** Time in which nodes end after their soak, in milliseconds. */
const END_MS = 2_000;
const SEED = 1;

/** Starts a soak in an empty folder, sends it a signal once a node runs, and returns how it ended. */
async function soakWith(signal: NodeJS.Signals) {
  const cwd = mkdtempSync(join(tmpdir(), 'soak-'));
  const imports = [`--import=${FAULTY}`, `--import=${import.meta.resolve('tsx')}`];
  const options = ['--seed', String(SEED), '--minutes', '0.5', '--nodes', '1', '--callers', '2'];
  const child = spawn(process.execPath, [...imports, MAIN, ...options], { cwd });
  let output = '';
  child.stdout.on('data', (bytes: Buffer) => (output += bytes.toString()));
  child.stderr.on('data', (bytes: Buffer) => (output += bytes.toString()));
  const ended = new Promise<number | null>((resolve) => child.once('close', resolve));
  const folder = join(cwd, '.soak', String(SEED));
  const log = join(folder, 'n0.log');
  while (!existsSync(log) || !readFileSync(log, 'utf8').includes('"event":"started"')) {
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
  child.kill(signal);
  const code = await ended;
  const path = join(folder, 'result.json');
  const text = existsSync(path) ? readFileSync(path, 'utf8') : '{}';
  const result = JSON.parse(text) as Partial<SoakResult>;
  const { listen } = JSON.parse(readFileSync(join(folder, 'n0.json'), 'utf8')) as {
    readonly listen: { readonly readiness: string };
  };
  const probe = { address: listen.readiness, path: '/ready', headers: {}, timeoutMs: 1_000 };
  await new Promise((resolve) => setTimeout(resolve, END_MS));
  return { code, output, result, readiness: await statusOf(probe) };
}

function messagesOf({ violations = [] }: Partial<SoakResult>): readonly string[] {
  const unfinished = violations.filter(({ promise }) => promise === 'unfinished-run');
  return unfinished.map(({ message }) => message);
}

const ENDS = [
  ['a signal', 'SIGHUP', 'the soak got SIGHUP'],
  ['another signal', 'SIGTERM', 'the soak got SIGTERM'],
  ['a rejection that nobody handles', 'SIGUSR2', 'odd rejection'],
  ['an exception that nobody handles', 'SIGCONT', 'odd exception'],
] as const;
for (const [what, signal, expected] of ENDS) {
  // Guards against a soak that ends without a result and leaves its nodes behind.
  test(`${what} ends a soak with a result that says so, and with its nodes`, async (t) => {
    const { code, output, result, readiness } = await soakWith(signal);
    t.is(code, 1, output);
    t.regex(output, new RegExp(`seed ${SEED}: [^]*unfinished-run: [^]*${expected}`));
    t.regex(output, /\n1 seeds, 1 with violations\n$/);
    t.true(messagesOf(result)[0]?.includes(expected), JSON.stringify(result.violations));
    t.is(readiness, undefined);
  });
}

// Guards against a soak that leaves its nodes and no result behind when it is killed.
test('a soak that is killed leaves a result which says that it has not ended, and no nodes', async (t) => {
  const { result, output, readiness } = await soakWith('SIGKILL');
  t.deepEqual(messagesOf(result), ['the run has not ended'], output);
  t.is(readiness, undefined);
});

/** Runs a soak of one node whose version in production comes from a folder. */
async function soakOf(production: string): Promise<SoakResult> {
  const folder = mkdtempSync(join(tmpdir(), 'soak-'));
  const options = { seed: SEED, lengthMs: 20_000, nodes: 1, callers: 1, folder, production };
  return new Soak({ ...options, readyTimeoutMs: 3_000 }).run();
}

// Guards against the error of a process that cannot be started ending the soak without a result.
test('a node that cannot be started ends a soak with a result that says so', async (t) => {
  const result = await soakOf(join(tmpdir(), 'no-such-checkout'));
  t.regex(messagesOf(result)[0] ?? '', /the process of n0 could not be started: .*ENOENT/);
  t.is(result.requests, 0);
});

// Guards against traffic at nodes that are not ready, or a wait for them without end.
test('a node that never gets ready ends a soak with a result that says so', async (t) => {
  const checkout = mkdtempSync(join(tmpdir(), 'checkout-'));
  mkdirSync(join(checkout, 'packages/cli/src/cli'), { recursive: true });
  symlinkSync(join(CHECKOUT, 'node_modules'), join(checkout, 'node_modules'));
  writeFileSync(join(checkout, 'packages/cli/src/cli/main.ts'), 'setInterval(() => 0, 1_000);');
  const result = await soakOf(checkout);
  t.regex(messagesOf(result)[0] ?? '', /not ready after 3000 ms: n0/);
  t.is(result.requests, 0);
});

// Guards against a run that waits without end for a node that does not answer.
test('a node that accepts a request and does not answer has no status', async (t) => {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  t.teardown(() => server.close());
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  t.is(await statusOf({ address, path: '/', headers: {}, timeoutMs: 100 }), undefined);
});
