const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
const ID_LINE = /^id:[ ]?(.*)$/gm;

/** Finds the end of the last whole event; 0 when there is none. */
function endOfWholeEvents(bytes: Buffer): number {
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

/** Cuts a stream of server-sent events into whole events, and remembers the id of the last one. */
export class EventSplitter {
  #rest: Buffer = Buffer.alloc(0);
  #lastId: string | undefined;

  /** Identifier of the last whole event. */
  get lastId(): string | undefined {
    return this.#lastId;
  }

  /** Bytes after the last whole event. */
  get rest(): Buffer {
    return this.#rest;
  }

  /** Takes in bytes and returns those that end whole events; empty when there are none. */
  push(bytes: Buffer): Buffer {
    const all = this.#rest.length === 0 ? bytes : Buffer.concat([this.#rest, bytes]);
    const end = endOfWholeEvents(all);
    this.#rest = all.subarray(end);
    const whole = all.subarray(0, end);
    if (end > 0) this.#lastId = lastIdIn(whole) ?? this.#lastId;
    return whole;
  }
}
