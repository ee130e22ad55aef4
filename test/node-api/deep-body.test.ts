import test from 'ava';
import { rawCall } from './raw-call.ts';
import { OPERATOR_KEY, TENANT_KEY, TestNode } from './test-node.ts';

const LEVELS = 60_000;
const BAD_REQUEST = 400;
const DEEP = `${'['.repeat(LEVELS)}${']'.repeat(LEVELS)}`;

// Guards against: a payload that was nested very deeply could not be walked and was accepted and then failed inside the node.
test('a body that is nested very deeply is refused as malformed', async (t) => {
  const node = await TestNode.start({ limits: { bodyBytes: 1_000_000 } });
  t.teardown(() => node.close());
  const post = async (path: string, key: string, body: string): Promise<number> => {
    const head = [
      `POST ${path} HTTP/1.1`,
      'host: node',
      'connection: close',
      'content-type: application/json',
      'idempotency-key: k1',
      `authorization: Bearer ${key}`,
      `content-length: ${body.length}`,
    ];
    const text = `${head.join('\r\n')}\r\n\r\n${body}`;
    return (await rawCall({ port: node.callersPort, text, waitMs: 3_000 })).status;
  };
  for (const service of ['stock', 'quotes', 'orders']) {
    const path = `/v1/services/${service}/requests`;
    const body = `{"operation":"o","payload":${DEEP}}`;
    t.is(await post(path, TENANT_KEY, body), BAD_REQUEST, service);
  }
  t.is(await post('/v1/tickets', OPERATOR_KEY, DEEP), BAD_REQUEST);
});
