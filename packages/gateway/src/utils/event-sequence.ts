interface StreamEvent {
  /** The id that the event itself has; undefined when it has none. */
  readonly id: string | undefined;
  /** Without data it is no event for the caller, but its id counts. */
  readonly hasData: boolean;
}

/** Ids that are compared by number; longer ones are opaque. */
const INTEGER_ID = /^\d{1,20}$/;
/** Opaque ids that are remembered of one stream, besides the first one. */
const MAX_OPAQUE_IDS = 256;
const ONE = 1n;

/**
 * Tells whether the events of a stream follow each other. Integer ids must increase. Opaque ids have no
 * order, so that only those of earlier runners are known not to come again.
 */
export class EventSequence {
  #lastInteger: bigint | undefined;
  /** Undefined before the second integer id. */
  #hasOnlyStepsOfOne: boolean | undefined;
  #firstOpaqueId: string | undefined;
  readonly #opaqueIds = new Set<string>();
  /** Opaque ids that other runners sent than the current one. */
  #earlierIds: ReadonlySet<string> = new Set();
  #isIdentified = false;
  #isContinuing = false;

  /** The last event has an id of its own, so that another runner can go on after it. */
  get isIdentified(): boolean {
    return this.#isIdentified;
  }

  /** The next event is the first one of another runner. */
  get isContinuing(): boolean {
    return this.#isContinuing;
  }

  /** An independent copy, to see whether events would follow before they are recorded. */
  fork(): EventSequence {
    const copy = new EventSequence();
    copy.#lastInteger = this.#lastInteger;
    copy.#hasOnlyStepsOfOne = this.#hasOnlyStepsOfOne;
    copy.#firstOpaqueId = this.#firstOpaqueId;
    for (const id of this.#opaqueIds) copy.#opaqueIds.add(id);
    copy.#earlierIds = this.#earlierIds;
    copy.#isIdentified = this.#isIdentified;
    copy.#isContinuing = this.#isContinuing;
    return copy;
  }

  /** Lets the next event come from another runner. */
  continueElsewhere(): void {
    const first = this.#firstOpaqueId;
    this.#earlierIds = new Set([...this.#opaqueIds, ...(first === undefined ? [] : [first])]);
    this.#isContinuing = true;
  }

  /** Records an event; returns why it cannot follow those before it. */
  add(event: StreamEvent): string | undefined {
    const fault = this.#faultOf(event);
    if (fault !== undefined) return fault;
    const { id, hasData } = event;
    if (id !== undefined || hasData) this.#isIdentified = id !== undefined;
    if (!hasData) return undefined;
    this.#isContinuing = false;
    if (id !== undefined) this.#recordId(id);
    return undefined;
  }

  #faultOf({ id, hasData }: StreamEvent): string | undefined {
    if (id === undefined) {
      return this.#isContinuing && hasData ? 'event of the stream has no id' : undefined;
    }
    if (this.#earlierIds.has(id)) return 'event of the stream has come before';
    if (!INTEGER_ID.test(id) || this.#lastInteger === undefined) return undefined;
    const step = BigInt(id) - this.#lastInteger;
    if (step < 0 || (step === 0n && hasData)) return 'event of the stream has come before';
    const isGap = this.#isContinuing && this.#hasOnlyStepsOfOne && step > ONE;
    return isGap && hasData ? 'event of the stream follows a missing one' : undefined;
  }

  #recordId(id: string): void {
    if (INTEGER_ID.test(id)) {
      const integer = BigInt(id);
      if (this.#lastInteger !== undefined) {
        this.#hasOnlyStepsOfOne =
          this.#hasOnlyStepsOfOne !== false && integer - this.#lastInteger === ONE;
      }
      this.#lastInteger = integer;
      return;
    }
    this.#firstOpaqueId ??= id;
    this.#opaqueIds.add(id);
    if (this.#opaqueIds.size <= MAX_OPAQUE_IDS) return;
    for (const oldest of this.#opaqueIds) {
      this.#opaqueIds.delete(oldest);
      break;
    }
  }
}
