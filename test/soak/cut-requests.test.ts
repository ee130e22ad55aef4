import { createServer, connect } from 'node:net';
import test from 'ava';
import { SoakCloud, SoakRunner } from '@ragwortrudder/soak';

const HEAD = 'POST /usage HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\npart';

/** Sends a part of a request, and resets its connection. */
async function sendPart(address: string): Promise<void> {
  const [host = '', port] = address.split(':');
  const socket = connect(Number(port), host);
  await new Promise((resolve) => socket.write(HEAD, resolve));
  await new Promise((resolve) => setTimeout(resolve, 100));
  socket.resetAndDestroy();
  await new Promise((resolve) => setTimeout(resolve, 100));
}

function createRunner(runs: string[]): SoakRunner {
  return new SoakRunner({
    id: 'r1',
    onRun: ({ id }) => runs.push(id),
    onDisturbed: () => undefined,
    onCrash: () => undefined,
  });
}

// Guards against a rejection that nobody handles, which ended the soak without a result.
test('a runner goes on when a request breaks off in its body', async (t) => {
  const runs: string[] = [];
  const runner = createRunner(runs);
  await runner.listen();
  t.teardown(() => runner.close());
  await sendPart(runner.address);
  t.deepEqual(runs, []);
});

// Guards against a rejection that nobody handles, which ended the soak without a result.
test('the API of the platform goes on when a request breaks off in its body', async (t) => {
  const violations: string[] = [];
  const cloud = new SoakCloud({ onViolation: (message) => violations.push(message) });
  await cloud.listen();
  t.teardown(() => cloud.close());
  await sendPart(cloud.address);
  t.deepEqual(violations, []);
  t.is(cloud.windows, 0);
});

// Guards against EADDRINUSE from a runner that comes back, which ended the soak without a result.
test('a runner comes back while an outgoing connection has got its port', async (t) => {
  const runner = createRunner([]);
  await runner.listen();
  const { address } = runner;
  await runner.close();
  const other = createServer();
  await new Promise<void>((resolve) => {
    other.listen(Number(address.split(':')[1]), '127.0.0.1', resolve);
  });
  t.teardown(() => other.close());
  await runner.listen();
  t.teardown(() => runner.close());
  t.is(runner.address, address);
});
