import { Failure } from '../errors/failure.ts';

interface EventSizeLimitOptions {
  /**
   * Maximum length of one event, in characters.
   * @default 1048576
   */
  readonly maxLength?: number;
  /** Creates the failure that is thrown for a longer event. */
  readonly failure: () => Failure;
}

const DEFAULT_MAX_LENGTH = 1024 * 1024;

/** Bounds what a parser of server-sent events has to buffer when an event does not end. */
export class EventSizeLimit {
  readonly #options: EventSizeLimitOptions;
  #length = 0;

  constructor(options: EventSizeLimitOptions) {
    this.#options = options;
  }

  /** Accounts for received text; throws once an event is too long. */
  add(text: string): void {
    this.#length += text.length;
    if (this.#length > (this.#options.maxLength ?? DEFAULT_MAX_LENGTH)) {
      throw this.#options.failure();
    }
  }

  /** Called when an event is complete. */
  reset(): void {
    this.#length = 0;
  }
}
