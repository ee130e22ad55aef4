import { inject, injectable } from 'inversify';
import type { Request, Response } from 'restify';
import type { Closeable } from '@ragwortrudder/core';
import type { Settings } from '@ragwortrudder/settings';
import { Unauthorized } from '../../errors/unauthorized.ts';
import { tokens } from '../../types/tokens.ts';
import { bearerKey } from '../http/bearer-key.ts';
import { HttpServer } from '../http/http-server.ts';
import { KeyRing } from '../http/key-ring.ts';
import { sendJson } from '../http/send-json.ts';
import { Metrics } from '../metrics/metrics.ts';
import { PeerMethods } from './peer-methods.ts';

const MAX_MESSAGE_BYTES = 64 * 1024 * 1024;
const HTTP_NO_CONTENT = 204;

/** HTTP server for calls from other nodes. */
@injectable()
export class PeerServer implements Closeable {
  readonly #server: HttpServer;
  readonly #keys: KeyRing<'peer'>;
  readonly #methods: PeerMethods;

  constructor(
    @inject(tokens.settings) settings: Settings,
    @inject(PeerMethods) methods: PeerMethods,
    @inject(Metrics) metrics: Metrics,
  ) {
    this.#methods = methods;
    this.#keys = new KeyRing([[settings.keys.peer, 'peer']]);
    this.#server = new HttpServer({
      name: 'ragwortrudder-peers',
      ...settings.listen.peers,
      ...settings.limits,
      bodyBytes: MAX_MESSAGE_BYTES,
      onFailure: (failure) => {
        metrics.count('peer_refusals', { code: failure.code });
      },
    });
    this.#server.route('post', '/rpc', (request, response) => this.#handleRpc(request, response));
  }

  get port(): number {
    return this.#server.port;
  }

  async listen(): Promise<void> {
    await this.#server.listen();
  }

  async close(): Promise<void> {
    await this.#server.close();
  }

  async #handleRpc(request: Request, response: Response): Promise<void> {
    if (!this.#keys.find(bearerKey(request))) throw new Unauthorized();
    dropOptionalHeaders(response);
    const body = request.body as unknown;
    const rpcResponse = await this.#methods.receive(
      Buffer.isBuffer(body) ? body.toString('utf8') : String(body),
    );
    if (rpcResponse) sendJson(response, 200, rpcResponse);
    else response.writeHead(HTTP_NO_CONTENT).end();
  }
}

/**
 * Removes the `Server` and `Date` headers: peers read neither, and they are a large part of a short
 * response.
 */
function dropOptionalHeaders(response: Response): void {
  response.removeHeader('server');
  response.sendDate = false;
}
