import test from 'ava';
import { GatewayHarness } from '../gateway/gateway-harness.ts';
import { responseTo } from '../gateway/scripted-response.ts';
import { ScriptedRunner } from '../gateway/scripted-runner.ts';

for (const name of ['novak', 'Café', 'Žižkov', '日本']) {
  // Guards against requests of a team that fail because of the letters of its name.
  test(`a runner gets the name of a team in UTF-8: ${name}`, async (t) => {
    const runner = await new ScriptedRunner((socket, request) => {
      socket.write(responseTo(request, 'ok'));
    }).listen();
    const harness = await GatewayHarness.start(t, { runners: [runner], team: { name } });
    t.is((await harness.call()).status, 200);
    const head = Buffer.from(runner.received[0]?.head ?? '', 'latin1').toString();
    t.is(/^Tenant: (.*)\r$/m.exec(head)?.[1], name);
  });
}
