import test from 'ava';
import { CutFleet } from './cut-fleet.ts';
import { responseTo } from './scripted-response.ts';
import { ScriptedRunner } from './scripted-runner.ts';

const OK = 200;
const WARM_CALLS = 12;
const WARM_MS = 50;

// Guards against a request that is lost while open connections serve and new ones are refused.
test('a request whose connection was lost goes on over one that is open where new ones are refused', async (t) => {
  let isCut = false;
  const create = (): ScriptedRunner =>
    new ScriptedRunner((socket, request) => {
      if (request.head.includes('/warm')) {
        setTimeout(() => socket.write(responseTo(request, 'warm')), WARM_MS);
        return;
      }
      if (isCut) {
        socket.write(responseTo(request, 'served'));
        return;
      }
      isCut = true;
      socket.resetAndDestroy();
    });
  const runners = await Promise.all([0, 1].map(() => create().listen()));
  t.teardown(() => Promise.all(runners.map((runner) => runner.close())));
  const fleet = await CutFleet.start(t, { runners, gateways: 1, route: { max_attempts: 3 } });
  const [gateway] = fleet.gateways;
  if (!gateway) throw new TypeError('no node was started');
  await Promise.all(Array.from({ length: WARM_CALLS }, () => gateway.call({ path: '/p/warm' })));
  await fleet.setLinks([0], 'refuse-new');
  t.is((await gateway.call()).status, OK);
});
