import { EventSequence } from './event-sequence.ts';
import { isHeadLine } from './is-head-line.ts';

const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
const COLON = 58;
const LOWER_I = 105;
const BYTE_ORDER_MARK = Buffer.from([0xef, 0xbb, 0xbf]);
const DATA_NAME = Buffer.from('data');
const ID_FIELD = /^id(?:: ?(.*))?$/;
const NUL = '\0';

/**
 * Splits a stream of server-sent events at event boundaries and keeps the last event id, following
 * the event stream format of the HTML standard: lines end with LF, CR or CRLF, and a blank line ends
 * an event.
 */
export class EventSplitter {
  #remainder: Buffer = Buffer.alloc(0);
  /** Start of the current line in the remainder. */
  #lineStart = 0;
  #isAfterCarriageReturn = false;
  #isFirstLine: boolean;
  /** The current event has a line that is not a comment. */
  #hasField = false;
  #hasData = false;
  /** The id that the current event itself has. */
  #ownId: string | undefined;
  readonly #sequence: EventSequence;
  #fault: string | undefined;
  #eventCount = 0;
  #lastId: string | undefined;
  #pendingId: string | undefined;

  constructor(sequence = new EventSequence()) {
    this.#sequence = sequence;
    // A byte order mark is one only at the start of the whole stream.
    this.#isFirstLine = !sequence.isContinuing;
  }

  /** Why nothing after the events that were returned can follow them. */
  get fault(): string | undefined {
    return this.#fault;
  }

  /** Complete events; a block without data is none for the caller. */
  get eventCount(): number {
    return this.#eventCount;
  }

  /** Event id after the last complete event; undefined when there is none, or an empty one. */
  get lastId(): string | undefined {
    return this.#lastId === '' ? undefined : this.#lastId;
  }

  /** Bytes after the last complete event; comments and line ends between events may be among them. */
  get remainder(): Buffer {
    return this.#remainder;
  }

  /** Bytes of an event, or of a line, that is not complete. */
  get partialEventBytes(): number {
    const isInsideLine = this.#lineStart < this.#remainder.length;
    return this.#hasField || isInsideLine ? this.#remainder.length : 0;
  }

  /**
   * Appends a chunk and returns all bytes up to the end of the last complete event; empty when no
   * event is complete.
   */
  push(bytes: Buffer): Buffer {
    if (this.fault !== undefined) return bytes.subarray(0, 0);
    const buffered = this.#remainder.length === 0 ? bytes : Buffer.concat([this.#remainder, bytes]);
    let end = 0;
    for (let at = this.#remainder.length; at < buffered.length; at += 1) {
      const byte = buffered[at];
      const isSecondOfPair = byte === LINE_FEED && this.#isAfterCarriageReturn;
      this.#isAfterCarriageReturn = byte === CARRIAGE_RETURN;
      if (isSecondOfPair) {
        if (end === at) end = at + 1;
        this.#lineStart = at + 1;
      } else if (byte === LINE_FEED || byte === CARRIAGE_RETURN) {
        if (this.#endLine(buffered.subarray(this.#lineStart, at))) end = at + 1;
        this.#lineStart = at + 1;
        if (this.#fault !== undefined) break;
      }
    }
    this.#remainder = buffered.subarray(end);
    this.#lineStart -= end;
    return buffered.subarray(0, end);
  }

  /** Handles a line without its end; returns true if it ends an event. */
  #endLine(line: Buffer): boolean {
    const hasMark =
      this.#isFirstLine && line.subarray(0, BYTE_ORDER_MARK.length).equals(BYTE_ORDER_MARK);
    this.#isFirstLine = false;
    const content = hasMark ? line.subarray(BYTE_ORDER_MARK.length) : line;
    if (content.length === 0) return this.#endEvent();
    if (content[0] === COLON) return false;
    if (isHeadLine(content)) {
      this.#fault = 'event stream contains the head of another response';
      return false;
    }
    this.#hasField = true;
    this.#hasData ||= isData(content);
    const id = content[0] === LOWER_I ? ID_FIELD.exec(content.toString('latin1')) : null;
    if (id && !id[1]?.includes(NUL)) {
      this.#pendingId = id[1] ?? '';
      this.#ownId = this.#pendingId;
    }
    return false;
  }

  /** Returns true if the event follows those before it. */
  #endEvent(): boolean {
    if (this.#hasField) {
      const id = this.#ownId === '' ? undefined : this.#ownId;
      this.#fault = this.#sequence.add({ id, hasData: this.#hasData });
      if (this.#fault !== undefined) return false;
      if (this.#hasData) this.#eventCount += 1;
    }
    this.#hasField = false;
    this.#hasData = false;
    this.#ownId = undefined;
    this.#lastId = this.#pendingId;
    return true;
  }
}

function isData(line: Buffer): boolean {
  const hasName = line.subarray(0, DATA_NAME.length).equals(DATA_NAME);
  return hasName && (line.length === DATA_NAME.length || line[DATA_NAME.length] === COLON);
}
