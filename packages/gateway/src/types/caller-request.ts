import type { PromptPart } from './prompt-part.ts';

/** Fully read request of a caller. */
export interface CallerRequest {
  readonly id: string;
  readonly method: string;
  /** Request target (path and query) as received. */
  readonly target: string;
  /** Host name without its port. */
  readonly host: string;
  /** Path without its query. */
  readonly path: string;
  /** End-to-end headers to forward, as alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Uint8Array | undefined;
  readonly apiKey: string | undefined;
  /** How long the caller waits after the arrival of the request, in milliseconds. */
  readonly deadlineMs: number | undefined;
  /** Id of the last event that the caller has received; a resumed stream continues after it. */
  readonly lastEventId: string | undefined;
  /** Parts of the prompt in order; empty when the request does not declare them. */
  readonly promptParts: readonly PromptPart[];
  /** Number of prompt tokens; undefined when the request does not declare it. */
  readonly promptTokens: number | undefined;
  /** Maximum number of output tokens; undefined when the request does not declare it. */
  readonly outputTokens: number | undefined;
  /** Time for which it has waited behind earlier requests on its connection, in milliseconds. */
  readonly waitedMs?: number;
}
