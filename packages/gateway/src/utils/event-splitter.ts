const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
const ID_LINE = /^id:[ ]?(.*)$/gm;

/** Returns the end of the last complete event; 0 when there is none. */
function endOfCompleteEvents(bytes: Buffer): number {
  for (let end = bytes.length; end >= 2; end -= 1) {
    if (bytes[end - 1] !== LINE_FEED) continue;
    if (bytes[end - 2] === LINE_FEED) return end;
    const isCrLf = bytes[end - 2] === CARRIAGE_RETURN && bytes[end - 3] === LINE_FEED;
    if (isCrLf) return end;
  }
  return 0;
}

function lastIdIn(events: Buffer): string | undefined {
  let last: string | undefined;
  for (const match of events.toString('latin1').matchAll(ID_LINE)) last = match[1]?.trimEnd();
  return last;
}

/** Splits a stream of server-sent events at event boundaries and keeps the id of the last complete event. */
export class EventSplitter {
  #remainder: Buffer = Buffer.alloc(0);
  #lastId: string | undefined;

  /** Id of the last complete event that has one. */
  get lastId(): string | undefined {
    return this.#lastId;
  }

  /** Buffered bytes after the last complete event. */
  get remainder(): Buffer {
    return this.#remainder;
  }

  /**
   * Appends a chunk and returns all bytes up to the end of the last complete event; empty when no
   * event is complete.
   */
  push(bytes: Buffer): Buffer {
    const buffered = this.#remainder.length === 0 ? bytes : Buffer.concat([this.#remainder, bytes]);
    const end = endOfCompleteEvents(buffered);
    this.#remainder = buffered.subarray(end);
    const completeEvents = buffered.subarray(0, end);
    if (end > 0) this.#lastId = lastIdIn(completeEvents) ?? this.#lastId;
    return completeEvents;
  }
}
