import type { z } from 'zod';

/** Method that nodes call on each other over JSON-RPC. */
export interface RpcMethod<P, R> {
  readonly name: string;
  readonly params: z.ZodType<P>;
  readonly result: z.ZodType<R>;
}
