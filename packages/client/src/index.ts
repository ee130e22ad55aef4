export { ConnectionLost } from './errors/connection-lost.ts';
export { RequestRefused } from './errors/request-refused.ts';
export { CallerClient } from './node/caller-client.ts';
export type { AnswerEvent } from './types/answer-event.ts';
export type { ClientObserver } from './types/client-observer.ts';
export type { ClientOptions } from './types/client-options.ts';
export type { ClientRequest } from './types/client-request.ts';
export { Problem } from './types/problem.ts';
