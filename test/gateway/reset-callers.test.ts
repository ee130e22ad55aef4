import { connect } from 'node:net';
import test from 'ava';
import { GatewayHarness } from './gateway-harness.ts';
import { responseTo } from './scripted-response.ts';
import { ScriptedRunner } from './scripted-runner.ts';

const CALLERS = 50;
const HEADS = [
  'CONNECT a.example:443 HTTP/1.1\r\nHost: a.example\r\n\r\n',
  'GET /p/x HTTP/1.1\r\nHost: a.example\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n',
  'OPTIONS * HTTP/1.1\r\n\r\n',
  '\u0000\u0001GARBAGE',
];

/** Sends bytes on a new connection and resets it at once. */
function resetAfter(port: number, text: string): Promise<void> {
  return new Promise((resolve) => {
    const socket = connect({ port, host: '127.0.0.1' });
    socket.on('error', () => undefined);
    socket.once('close', () => {
      resolve();
    });
    socket.once('connect', () => {
      socket.write(text, () => socket.resetAndDestroy());
    });
  });
}

// Guards against a connection whose error ends the process after it was handed over.
test('pattern: callers send CONNECT and reset their connections; the node goes on serving', async (t) => {
  const runner = await new ScriptedRunner((socket, request) => {
    socket.write(responseTo(request, 'ok'));
  }).listen();
  const harness = await GatewayHarness.start(t, { runners: [runner] });
  const { callers, readiness } = harness.gateway.ports;
  for (const head of HEADS) {
    for (const port of [callers, readiness]) {
      await Promise.all(Array.from({ length: CALLERS }, () => resetAfter(port, head)));
      t.is((await harness.call()).status, 200);
    }
  }
});
