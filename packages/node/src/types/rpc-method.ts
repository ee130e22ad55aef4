import type { z } from 'zod';

/** A method that nodes call on each other by JSON-RPC. */
export interface RpcMethod<P, R> {
  readonly name: string;
  readonly params: z.ZodType<P>;
  readonly result: z.ZodType<R>;
}
