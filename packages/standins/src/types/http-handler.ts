import type { HttpCall } from './http-call.ts';
import type { HttpReply } from './http-reply.ts';

/** Handles a call; returns `undefined` if it writes the response itself or leaves the call unanswered. */
export type HttpHandler = (
  call: HttpCall,
) => Promise<HttpReply | undefined> | HttpReply | undefined;
