import { inject, injectable } from 'inversify';
import { JSONRPCServer } from 'json-rpc-2.0';
import { InvalidInput } from '@ragwortrudder/core';
import type { RpcMethod } from '../../types/rpc-method.ts';
import { Metrics } from '../metrics/metrics.ts';

/** Table of the methods that peers may call here. */
@injectable()
export class PeerMethods {
  readonly #server = new JSONRPCServer({ errorListener: () => undefined });
  readonly #metrics: Metrics;

  constructor(@inject(Metrics) metrics: Metrics) {
    this.#metrics = metrics;
  }

  /** Serves `method` by `handler`; parameters that do not match the schema are refused and counted. */
  serve<P, R>(method: RpcMethod<P, R>, handler: (params: P) => R | Promise<R>): void {
    this.#server.addMethod(method.name, async (raw: unknown) => {
      const params = method.params.safeParse(raw);
      if (!params.success) {
        this.#metrics.count('peer_messages_refused', { method: method.name });
        throw new InvalidInput(
          `malformed parameters of ${method.name}`,
          params.error.issues.map((issue) => issue.message),
        );
      }
      return handler(params.data);
    });
  }

  /** Answers one JSON-RPC message. */
  async receive(body: string): Promise<unknown> {
    return this.#server.receiveJSON(body);
  }
}
