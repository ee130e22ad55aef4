import type { ClientOptions } from './client-options.ts';

/** Options of the log client. */
export interface HttpLogOptions extends ClientOptions {
  /** Name of the stream, for example `tickets`. */
  readonly stream: string;
}
