import type { HttpCall } from './http-call.ts';
import type { HttpReply } from './http-reply.ts';

/** Answers a call; `undefined` when the handler owns the response itself. */
export type HttpHandler = (
  call: HttpCall,
) => Promise<HttpReply | undefined> | HttpReply | undefined;
