import test from 'ava';
import { freePort } from './free-port.ts';

const COUNT = 20;
const FIRST_EPHEMERAL_PORT = 32_768;

// Guards against tests that fail because a port was taken between its choice and its use.
test('a free port is given once, and no outgoing connection gets it', async (t) => {
  const ports = await Promise.all(Array.from({ length: COUNT }, () => freePort()));
  t.is(new Set(ports).size, COUNT);
  t.true(ports.every((port) => port < FIRST_EPHEMERAL_PORT));
});
