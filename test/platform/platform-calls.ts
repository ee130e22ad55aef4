import { PlatformHttp } from '../../packages/platform/src/node/platform-http.ts';
import { measureCalls } from '../core/measure-calls.ts';

const CALLS = 16;
const TIMEOUT_MS = 1_000;
const [, , port = ''] = process.argv;
const baseUrl = `http://127.0.0.1:${port}`;
const http = new PlatformHttp({ baseUrl, timeoutMs: TIMEOUT_MS, maxSockets: CALLS + 1 });

await measureCalls({
  count: CALLS,
  call: () => http.call({ method: 'GET', path: 'x' }),
  soundCall: () => http.call({ method: 'GET', path: 'sound' }),
});
