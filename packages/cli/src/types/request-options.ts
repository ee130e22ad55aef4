import type { ConnectionOptions } from './connection-options.ts';

/** Options of the `request` command. */
export interface RequestOptions extends ConnectionOptions {
  readonly service: string;
  readonly prompt: string | undefined;
  readonly 'max-tokens': number | undefined;
  readonly operation: string | undefined;
  readonly payload: string | undefined;
  readonly class: string | undefined;
  /** Time in milliseconds from now. */
  readonly deadline: number | undefined;
  /** Idempotency key. */
  readonly key: string | undefined;
  readonly 'issue-key': boolean;
  /** Time in seconds for which failed attempts are retried. */
  readonly patience: number;
}
