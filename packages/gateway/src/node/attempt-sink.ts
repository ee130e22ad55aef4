import type { ResponseHead } from '../types/response-head.ts';
import type { ResponseSink } from '../types/response-sink.ts';

interface AttemptSinkOptions {
  /** Receives the response of the attempt that sends the next bytes. */
  readonly target: ResponseSink;
  /** Called before bytes are passed on, so that other attempts can be ended. */
  readonly onBytes: () => void;
}

/** Sink of one of several attempts at the same request; its head counts only once bytes follow. */
export class AttemptSink implements ResponseSink {
  readonly #options: AttemptSinkOptions;
  #head: ResponseHead | undefined;
  #hasPushed = false;

  constructor(options: AttemptSinkOptions) {
    this.#options = options;
  }

  get hasBegun(): boolean {
    return this.#options.target.hasBegun;
  }

  get partialEventBytes(): number {
    return this.#hasPushed ? this.#options.target.partialEventBytes : 0;
  }

  get bufferedBytes(): number {
    return this.#hasPushed ? this.#options.target.bufferedBytes : 0;
  }

  /** Bytes of the attempt have been passed on. */
  get hasPushed(): boolean {
    return this.#hasPushed;
  }

  begin(head: ResponseHead): void {
    this.#head = head;
  }

  push(bytes: Buffer): Promise<void> | undefined {
    this.#claim();
    return this.#options.target.push(bytes);
  }

  end(): void {
    this.#claim();
    this.#options.target.end();
  }

  #claim(): void {
    const { target, onBytes } = this.#options;
    onBytes();
    if (this.#hasPushed || !this.#head) return;
    this.#hasPushed = true;
    target.begin(this.#head);
  }
}
