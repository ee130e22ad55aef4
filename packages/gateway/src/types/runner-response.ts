import type { ResponseHead } from './response-head.ts';

/** Fully buffered response of a runner. */
export interface RunnerResponse {
  readonly head: ResponseHead;
  readonly body: Uint8Array;
}
