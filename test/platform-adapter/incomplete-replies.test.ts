import test from 'ava';
import type { ExecutionContext } from 'ava';
import { LogUnavailable } from '@ragwortrudder/log';
import { PlatformCloudApi, PlatformHttpClient, PlatformLog } from '@ragwortrudder/platform-adapter';
import { INVALID_STATUSES } from '../core/invalid-statuses.ts';
import { resetResponse } from '../core/reset-response.ts';
import { serveRaw } from '../core/serve-raw.ts';

const TOPIC = 'things';
const PAGE_END = 9n;
const TERM = { holder: 'n1', fencingToken: 1 } as const;

/** Start of a page: its end offset and its first offset, and the length of a record that does not follow. */
function partOfPage(): string {
  const bytes = Buffer.alloc(20);
  bytes.writeBigUInt64BE(PAGE_END, 0);
  bytes.writeUInt32BE(100, 16);
  return bytes.toString('latin1');
}

async function client(t: ExecutionContext, body: string): Promise<PlatformHttpClient> {
  const http = new PlatformHttpClient(await serveRaw(t, resetResponse(body)));
  t.teardown(() => http.close());
  return http;
}

// Guards against skipping records of which a part arrived, as if no page had room for them.
test('a page of the store without framing whose connection is reset is not read', async (t) => {
  const log = new PlatformLog(await client(t, partOfPage()));
  const reading = log.read({ topic: TOPIC, from: 3, waitMs: 0 });
  await t.throwsAsync(reading, { instanceOf: LogUnavailable });
});

// Guards against taking a part of a reply for the acknowledgement of a record, usage or an order.
test('a reply without framing whose connection is reset acknowledges nothing', async (t) => {
  const log = new PlatformLog(await client(t, '{"offset":1}'));
  const appending = log.append({ topic: TOPIC, key: 'a' });
  const error = await t.throwsAsync(appending, { instanceOf: LogUnavailable });
  t.false(error.notRun);
  const cloud = new PlatformCloudApi(await client(t, ''));
  await t.throwsAsync(cloud.reportUsage(TERM, { window: 1, counts: {} }), {
    instanceOf: LogUnavailable,
  });
});

// Guards against a client that returns a status that HTTP does not define as the reply of the platform.
test('a reply with an invalid status is none', async (t) => {
  const returned: number[] = [];
  for (const status of INVALID_STATUSES) {
    const address = await serveRaw(t, (socket) => {
      socket.end(`HTTP/1.1 ${status} X\r\nContent-Length: 2\r\n\r\n{}`);
    });
    const http = new PlatformHttpClient(address);
    t.teardown(() => http.close());
    await http.call({ method: 'GET', path: 'x' }).then(
      (reply) => returned.push(reply.status),
      (error: unknown) => {
        t.true(error instanceof LogUnavailable && !error.notRun);
      },
    );
  }
  t.deepEqual(returned, []);
});
