import { readFileSync } from 'node:fs';
import { createServer } from 'node:http';
import got from 'got';

interface Settings {
  readonly node: { readonly id: string };
  readonly listen: {
    readonly callers: { readonly host: string; readonly port: number };
    readonly peers: { readonly host: string; readonly port: number };
  };
}

/**
 * Fake entry node for tests of `Fleet`: answers every call with its process id and credentials, or fetches the URL in
 * the query parameter `url` and reports whether it was reachable.
 */
const settings = JSON.parse(readFileSync(process.argv[4] ?? '', 'utf8')) as Settings;
process.stderr.write(`${settings.node.id} starts\n`);

const callers = createServer((request, response) => {
  const url = new URL(request.url ?? '/', 'http://localhost');
  const target = url.searchParams.get('url');
  if (target !== null) {
    const options = { retry: { limit: 0 }, throwHttpErrors: false, timeout: { request: 2000 } };
    got(target, options).then(
      (reply) => response.end(JSON.stringify({ reached: true, text: reply.body })),
      () => response.end(JSON.stringify({ reached: false })),
    );
    return;
  }
  const { authorization } = request.headers;
  response.end(JSON.stringify({ id: settings.node.id, pid: process.pid, authorization }));
});
callers.listen(settings.listen.callers);
const peers = createServer((_request, response) => response.end(`"${settings.node.id}"`));
peers.listen(settings.listen.peers);
process.once('SIGTERM', () => process.exit(0));
