import { ByteBuffer } from '@ragwortrudder/core';
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
  readonly #kept = new ByteBuffer();
  /** Start of the current line in the remainder. */
  #lineStart = 0;
  /** The bytes before the next chunk end with a carriage return. */
  #endsWithCarriageReturn = false;
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
    return this.#kept.bytes;
  }

  /** Memory that is held for the remainder, in bytes. */
  get heldBytes(): number {
    return this.#kept.heldBytes;
  }

  /** Bytes of an event, or of a line, that is not complete. */
  get partialEventBytes(): number {
    const isInsideLine = this.#lineStart < this.#kept.length;
    return this.#hasField || isInsideLine ? this.#kept.length : 0;
  }

  /**
   * Appends a chunk and returns all bytes up to the end of the last complete event; empty when no
   * event is complete.
   */
  push(bytes: Buffer): Buffer {
    if (this.fault !== undefined) return bytes.subarray(0, 0);
    const from = this.#kept.length;
    if (from > 0) this.#kept.append(bytes);
    const buffered = from > 0 ? this.#kept.bytes : bytes;
    let end = 0;
    for (let at = from; at < buffered.length; at += 1) {
      const byte = buffered[at];
      if (byte !== LINE_FEED && byte !== CARRIAGE_RETURN) continue;
      const isAfterCarriageReturn =
        at > from ? buffered[at - 1] === CARRIAGE_RETURN : this.#endsWithCarriageReturn;
      if (byte === LINE_FEED && isAfterCarriageReturn) {
        if (end === at) end = at + 1;
      } else if (this.#endLine(buffered, at)) end = at + 1;
      this.#lineStart = at + 1;
      if (this.#fault !== undefined) break;
    }
    if (bytes.length > 0) this.#endsWithCarriageReturn = buffered.at(-1) === CARRIAGE_RETURN;
    this.#lineStart -= end;
    if (from > 0) return end > 0 ? this.#kept.take(end) : bytes.subarray(0, 0);
    if (end < bytes.length) this.#kept.append(bytes.subarray(end));
    return bytes.subarray(0, end);
  }

  /** Handles the current line, which ends at `end`; returns true if it ends an event. */
  #endLine(buffered: Buffer, end: number): boolean {
    const hasMark = this.#isFirstLine && hasAt(buffered, this.#lineStart, BYTE_ORDER_MARK);
    const start = hasMark ? this.#lineStart + BYTE_ORDER_MARK.length : this.#lineStart;
    this.#isFirstLine = false;
    if (start === end) return this.#endEvent();
    const first = buffered[start];
    if (first === COLON) return false;
    if (isHeadLine(buffered, start, end)) {
      this.#fault = 'event stream contains the head of another response';
      return false;
    }
    this.#hasField = true;
    this.#hasData ||= isData(buffered, start, end);
    const id = first === LOWER_I ? ID_FIELD.exec(buffered.toString('latin1', start, end)) : null;
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

function hasAt(buffered: Buffer, start: number, expected: Buffer): boolean {
  for (let index = 0; index < expected.length; index += 1) {
    if (buffered[start + index] !== expected[index]) return false;
  }
  return true;
}

/** Lines are told apart in place: a stream can have many thousands of them in one read. */
function isData(buffered: Buffer, start: number, end: number): boolean {
  const nameEnd = start + DATA_NAME.length;
  if (nameEnd > end || !hasAt(buffered, start, DATA_NAME)) return false;
  return nameEnd === end || buffered[nameEnd] === COLON;
}
