import { Writable } from 'node:stream';
import test from 'ava';
import { SystemClock } from '@ragwortrudder/core';
import { PlatformDialect } from '@ragwortrudder/platform-adapter';
import { CallerServer } from '../../packages/gateway/src/node/caller-server.ts';
import { DecisionLog } from '../../packages/gateway/src/node/decision-log.ts';
import { GatewayMetrics } from '../../packages/gateway/src/node/gateway-metrics.ts';
import { Intake } from '../../packages/gateway/src/node/intake.ts';
import { RawCaller, requestText } from './raw-caller.ts';

// Guards against a connection that closes without an answer because the node failed to serve the request.
test('a request that the node fails to serve is answered and logged', async (t) => {
  const lines: string[] = [];
  const out = new Writable({
    write: (bytes: Buffer, _encoding, done) => {
      lines.push(bytes.toString());
      done();
    },
  });
  const metrics = new GatewayMetrics();
  const server = new CallerServer({
    address: { host: '127.0.0.1', port: 0 },
    intake: new Intake(),
    dialect: new PlatformDialect(),
    log: new DecisionLog({ node: 'n1', out, clock: new SystemClock() }),
    metrics,
    onRequest: () => Promise.reject(new RangeError('port out of range')),
  });
  await server.listen();
  const caller = new RawCaller(server.port);
  t.teardown(async () => {
    caller.socket.destroy();
    await server.close();
  });
  caller.send(requestText({ id: 'a' }));
  await Promise.race([
    caller.closed,
    new Promise((resolve) => caller.socket.once('data', resolve)),
  ]);
  t.deepEqual(caller.responses, ['500 a']);
  const line = lines.find((text) => text.includes('"request-failed"'));
  t.like(JSON.parse(line ?? '{}'), { request: 'a', reason: 'port out of range' });
  t.regex(metrics.text(), /refusals\{cause="node-failed"\} 1/);
});
