import type { Agent } from 'node:http';

/** One HTTP call whose response is buffered. */
export interface HttpCall {
  /** URL with the scheme `http` or `https`. */
  readonly url: string | URL;
  /** @default 'GET' */
  readonly method?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | Buffer;
  /**
   * Agent for the scheme of the URL; false for a connection of its own.
   * @default false
   */
  readonly agent?: Agent | false;
  /** Time for the whole call in milliseconds. */
  readonly timeoutMs: number;
  /**
   * Time in milliseconds within which a new connection must be open.
   * @default timeoutMs
   */
  readonly connectTimeoutMs?: number;
  /** Bound of the response's body, in bytes. */
  readonly maxBodyBytes: number;
  readonly signal?: AbortSignal;
}
