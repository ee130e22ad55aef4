import { inject, injectable } from 'inversify';
import { JSONRPCClient, JSONRPCErrorException } from 'json-rpc-2.0';
import type { JSONRPCResponse } from 'json-rpc-2.0';
import type { Closeable } from '@ragwortrudder/core';
import type { Settings } from '@ragwortrudder/settings';
import { PeerRefused } from '../../errors/peer-refused.ts';
import { PeerUnreachable } from '../../errors/peer-unreachable.ts';
import type { RpcMethod } from '../../types/rpc-method.ts';
import { tokens } from '../../types/tokens.ts';
import { JsonClient } from '../http/json-client.ts';
import { Metrics } from '../metrics/metrics.ts';

const MAX_SOCKETS_PER_PEER = 32;

interface PeerCall<P, R> {
  /** Peer address, `host:port`. */
  readonly address: string;
  readonly method: RpcMethod<P, R>;
  readonly params: P;
  readonly timeoutMs: number;
}

/** Calls methods of other nodes. */
@injectable()
export class PeerClient implements Closeable {
  readonly #key: string;
  readonly #metrics: Metrics;
  readonly #httpClient = new JsonClient({ maxSockets: MAX_SOCKETS_PER_PEER });

  constructor(@inject(tokens.settings) settings: Settings, @inject(Metrics) metrics: Metrics) {
    this.#key = settings.keys.peer;
    this.#metrics = metrics;
  }

  /**
   * Calls a method of a peer once.
   * @throws {@link PeerUnreachable} if no valid response arrived; the call may have taken effect.
   * @throws {@link PeerRefused} if the peer responded with an error.
   */
  async call<P, R>(options: PeerCall<P, R>): Promise<R> {
    const client = new JSONRPCClient(async (payload) => {
      client.receive(await this.#post(options.address, JSON.stringify(payload), options.timeoutMs));
    });
    try {
      const result: unknown = await client.request(options.method.name, options.params);
      return options.method.result.parse(result);
    } catch (error) {
      if (error instanceof JSONRPCErrorException)
        throw new PeerRefused(options.method.name, error.message);
      this.#metrics.count('peer_call_failures', { method: options.method.name });
      throw new PeerUnreachable(options.address, error);
    }
  }

  async close(): Promise<void> {
    await this.#httpClient.close();
  }

  async #post(address: string, body: string, timeoutMs: number): Promise<JSONRPCResponse> {
    const options = { address, path: '/rpc', body, key: this.#key, timeoutMs };
    const response = await this.#httpClient.call(options);
    this.#metrics.count('peer_bytes', { direction: 'out' }, body.length);
    this.#metrics.count('peer_bytes', { direction: 'in' }, response.length);
    return JSON.parse(response) as JSONRPCResponse;
  }
}
