import type { ResponseHead } from './response-head.ts';

/** Receives a successful response as it is streamed. */
export interface ResponseSink {
  /** Part of a response has been sent. */
  readonly hasBegun: boolean;
  /** The response that has begun last has brought an event. */
  readonly hasEvents: boolean;
  /** Why nothing after the events that were sent can follow them. */
  readonly fault: string | undefined;
  /** Bytes received after the last complete event. */
  readonly partialEventBytes: number;
  /** Bytes that are kept in memory until they can be sent. */
  readonly bufferedBytes: number;
  /** Memory that is held for them, in bytes. */
  readonly heldBytes: number;
  /** Bytes received after the last complete event or comment. */
  readonly unfinishedBytes: number;
  begin(head: ResponseHead): void;
  /** Writes a chunk. A returned promise resolves once the sink accepts more data. */
  push(bytes: Buffer): Promise<void> | undefined;
  /** Called when the runner has completed its response. */
  end(): void;
}
