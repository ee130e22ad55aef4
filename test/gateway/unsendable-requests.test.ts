import test from 'ava';
import type { CallerRequest, ForwardingMetadata } from '@ragwortrudder/gateway';
import { PlatformDialect } from '@ragwortrudder/platform-adapter';
import { GatewayHarness } from './gateway-harness.ts';
import { responseTo } from './scripted-response.ts';
import { ScriptedRunner } from './scripted-runner.ts';

const OK = 200;
const FAILED = 500;
/** More than the connections that a node has to a runner of the harness. */
const CALLS = 120;
const UNSENDABLE_PATH = '/p/unsendable';

/** Gives the requests of one path a header that no connection can carry. */
class FaultyDialect extends PlatformDialect {
  override runnerHeaders(request: CallerRequest, metadata: ForwardingMetadata): readonly string[] {
    const headers = super.runnerHeaders(request, metadata);
    return request.path === UNSENDABLE_PATH ? [...headers, 'Faulty', '\n'] : headers;
  }
}

// Guards against a runner that counts as full of requests that were never sent to it.
test('a runner serves others after many requests that cannot be sent', async (t) => {
  const runner = await new ScriptedRunner((socket, request) => {
    socket.write(responseTo(request, 'ok'));
  }).listen();
  const harness = await GatewayHarness.start(t, {
    runners: [runner],
    dialect: new FaultyDialect(),
  });
  for (let count = 0; count < CALLS; count += 1) {
    t.is((await harness.call({ path: UNSENDABLE_PATH })).status, FAILED);
  }
  t.is((await harness.call()).status, OK);
});
