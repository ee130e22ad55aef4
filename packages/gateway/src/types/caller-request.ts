import type { PromptPart } from './prompt-part.ts';

/** Request of a caller, read whole. */
export interface CallerRequest {
  readonly id: string;
  readonly method: string;
  /** Path and query as sent. */
  readonly target: string;
  /** Host name without its port. */
  readonly host: string;
  /** Path without its query. */
  readonly path: string;
  /** Names and values of the headers that are passed on, in turn. */
  readonly headers: readonly string[];
  readonly body: Uint8Array | undefined;
  readonly apiKey: string | undefined;
  /** Time that the caller will wait from the arrival of the request, in milliseconds. */
  readonly deadlineMs: number | undefined;
  /** Last event that the caller has; a stream goes on after it. */
  readonly lastEventId: string | undefined;
  /** Parts of the prompt in order; empty when the request does not state them. */
  readonly promptParts: readonly PromptPart[];
  /** Tokens of the prompt; undefined when the request does not state them. */
  readonly promptTokens: number | undefined;
  /** Most tokens of the answer; undefined when the request does not state them. */
  readonly outputTokens: number | undefined;
}
