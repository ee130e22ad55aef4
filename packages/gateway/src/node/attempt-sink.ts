import { ByteBuffer } from '@ragwortrudder/core';
import type { ResponseHead } from '../types/response-head.ts';
import type { ResponseSink } from '../types/response-sink.ts';
import type { EventSplitter } from '../utils/event-splitter.ts';
import type { CallerChannel } from './caller-channel.ts';

interface AttemptSinkOptions {
  /** Receives the response of the attempt that sends the next event. */
  readonly channel: CallerChannel;
  /** Another attempt is in progress. */
  readonly hasOther: () => boolean;
  /** Called when the attempt passes on its first bytes, and with each event, so that others can be ended. */
  readonly onBytes: () => void;
  /** Called when the caller has taken what was sent, and the response is read on. */
  readonly onDrain: () => void;
}

/**
 * Sink of one of several attempts at the same request. Nothing is passed on before a whole event has
 * arrived that follows those that were sent, so that no other attempt ends for less.
 */
export class AttemptSink implements ResponseSink {
  readonly #options: AttemptSinkOptions;
  #head: ResponseHead | undefined;
  #preview: EventSplitter | undefined;
  readonly #pending = new ByteBuffer();
  #hasPushed = false;
  #isBlocked = false;

  constructor(options: AttemptSinkOptions) {
    this.#options = options;
  }

  get hasBegun(): boolean {
    return this.#options.channel.hasBegun;
  }

  get hasEvents(): boolean {
    return (this.#source?.eventCount ?? 0) > 0;
  }

  get fault(): string | undefined {
    return this.#source?.fault;
  }

  get partialEventBytes(): number {
    return this.#source?.partialEventBytes ?? 0;
  }

  get bufferedBytes(): number {
    if (this.#hasPushed) return this.#options.channel.bufferedBytes;
    return this.#pending.length;
  }

  get heldBytes(): number {
    if (this.#hasPushed) return this.#options.channel.heldBytes;
    return this.#pending.heldBytes + (this.#preview?.heldBytes ?? 0);
  }

  get unfinishedBytes(): number {
    if (this.#hasPushed) return this.#options.channel.unfinishedBytes;
    return this.#preview?.remainder.length ?? 0;
  }

  /** Bytes of the attempt have been passed on. */
  get hasPushed(): boolean {
    return this.#hasPushed;
  }

  /** The response is not read because the caller has not taken what was sent. */
  get isBlocked(): boolean {
    return this.#isBlocked;
  }

  begin(head: ResponseHead): void {
    this.#head = head;
    this.#preview = this.#options.channel.previewOf(head);
  }

  push(bytes: Buffer): Promise<void> | undefined {
    if (this.#hasPushed) return this.#pass(bytes);
    this.#pending.append(bytes);
    return this.#isHeldBack(bytes) ? undefined : this.#passPending();
  }

  end(): void {
    if (!this.#hasPushed) void this.#passPending();
    this.#options.channel.end();
  }

  get #source(): CallerChannel | EventSplitter | undefined {
    return this.#hasPushed ? this.#options.channel : this.#preview;
  }

  /**
   * Comments are passed on only where no other attempt would end for them, and not before the first
   * event: a stream of which nothing was sent can still begin at another runner.
   */
  #isHeldBack(bytes: Buffer): boolean {
    if (!this.#preview) return false;
    const complete = this.#preview.push(bytes);
    if (this.#preview.eventCount > 0) return false;
    return complete.length === 0 || !this.hasBegun || this.#options.hasOther();
  }

  #passPending(): Promise<void> | undefined {
    const bytes = this.#pending.take();
    this.#preview = undefined;
    this.#options.onBytes();
    this.#hasPushed = true;
    if (this.#head) this.#options.channel.begin(this.#head);
    return bytes.length === 0 ? undefined : this.#send(bytes);
  }

  #pass(bytes: Buffer): Promise<void> | undefined {
    const { channel, onBytes } = this.#options;
    const before = channel.eventCount;
    const drained = this.#send(bytes);
    if (before === undefined || channel.eventCount !== before) onBytes();
    return drained;
  }

  #send(bytes: Buffer): Promise<void> | undefined {
    const drained = this.#options.channel.push(bytes);
    if (!drained) return undefined;
    this.#isBlocked = true;
    return drained.then(() => {
      this.#isBlocked = false;
      this.#options.onDrain();
    });
  }
}
