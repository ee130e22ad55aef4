import { PlatformHttpClient } from '../../platform/src/node/platform-http-client.ts';
import { PlatformLog } from '../../platform/src/node/platform-log.ts';
import { measureCalls } from '../core/measure-calls.ts';

const [, , port = '', calls = '', waitMs = ''] = process.argv;
const http = new PlatformHttpClient(`127.0.0.1:${port}`);
const log = new PlatformLog(http);

await measureCalls({
  count: Number(calls),
  call: () => log.read({ topic: 'endless', from: 0, waitMs: Number(waitMs) }),
  soundCall: () => http.call({ method: 'GET', path: 'sound' }),
});
