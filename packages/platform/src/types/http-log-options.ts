import type { PlatformClientOptions } from './platform-client-options.ts';

/** Options of the log client. */
export interface HttpLogOptions extends PlatformClientOptions {
  /** Name of the stream, for example `tickets`. */
  readonly stream: string;
}
