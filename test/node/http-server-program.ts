import { HttpServer } from '../../packages/node/src/node/http/http-server.ts';
import { sendJson } from '../../packages/node/src/node/http/send-json.ts';
import { measureProcess } from '../core/measure-process.ts';

const server = new HttpServer({
  ...{ name: 'test', host: '127.0.0.1', port: 0 },
  ...{ bodyBytes: 1024 * 1024, headerBytes: 16 * 1024, connections: 256 },
  ...{ headerTimeoutMs: 2_000, bodyTimeoutMs: 2_000, onFailure: () => undefined },
});
server.route('post', '/x', (_request, response) => {
  sendJson(response, 200, {});
  return Promise.resolve();
});
server.route('get', '/sound', (_request, response) => {
  sendJson(response, 200, {});
  return Promise.resolve();
});
await server.listen();
measureProcess(server.port);
