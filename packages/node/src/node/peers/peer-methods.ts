import { inject, injectable } from 'inversify';
import { JSONRPCServer } from 'json-rpc-2.0';
import * as z from 'zod';
import { InvalidInput, parseBoundedJson } from '@ragwortrudder/core';
import { BodyMalformed } from '../../errors/body-malformed.ts';
import type { RpcMethod } from '../../types/rpc-method.ts';
import { Metrics } from '../metrics/metrics.ts';

/** Bounds of a message; its size is bounded by the server. Records of a stream have levels of their own. */
const BOUNDS = { maxBytes: Number.MAX_SAFE_INTEGER, maxDepth: 128 };

const RpcMessage = z.strictObject({
  jsonrpc: z.literal('2.0'),
  id: z.union([z.string(), z.number()]).nullish(),
  method: z.string(),
  params: z.unknown().optional(),
});

/** JSON-RPC methods that peers may call on this node. */
@injectable()
export class PeerMethods {
  readonly #server = new JSONRPCServer({ errorListener: () => undefined });
  readonly #metrics: Metrics;

  constructor(@inject(Metrics) metrics: Metrics) {
    this.#metrics = metrics;
  }

  /**
   * Registers `handler` for `method`; calls whose parameters do not match the schema are refused
   * and counted.
   */
  serve<P, R>(method: RpcMethod<P, R>, handler: (params: P) => R | Promise<R>): void {
    this.#server.addMethod(method.name, async (rawParams: unknown) => {
      const params = method.params.safeParse(rawParams);
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

  /**
   * Handles one JSON-RPC message and returns the response, if the message asks for one.
   * @throws {@link BodyMalformed} if `body` is not a JSON-RPC message.
   */
  async receive(body: string): Promise<unknown> {
    const message = RpcMessage.safeParse(parseBoundedJson(Buffer.from(body), BOUNDS));
    if (!message.success) throw new BodyMalformed();
    const { id = null, ...call } = message.data;
    return this.#server.receive({ ...call, id });
  }
}
