import type { ConnectionOptions } from './connection-options.ts';

/** Options of the command `request`. */
export interface RequestOptions extends ConnectionOptions {
  readonly service: string;
  readonly prompt: string | undefined;
  readonly 'max-tokens': number | undefined;
  readonly operation: string | undefined;
  readonly payload: string | undefined;
  readonly class: string | undefined;
  /** Time from now in milliseconds. */
  readonly deadline: number | undefined;
  /** Idempotency key. */
  readonly key: string | undefined;
  readonly 'issue-key': boolean;
  /** Time in seconds. */
  readonly patience: number;
}
