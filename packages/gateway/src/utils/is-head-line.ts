/** First letters of the names below, in both cases. */
const FIRST_LETTERS: ReadonlySet<number> = new Set(Buffer.from('HCTct'));
const STATUS_LINE = /^HTTP\/\d(?:\.\d)? \d{3}(?: |$)/;
const FRAMING_FIELD = /^(?:content-length|content-type|transfer-encoding|connection)\s*:/i;

/**
 * Whether a line of an event stream, which lies between `start` and `end`, belongs to the head of an
 * HTTP response: its status line, or a field that no event has. The status line may be hidden behind the
 * start of an event.
 */
export function isHeadLine(bytes: Buffer, start: number, end: number): boolean {
  if (!FIRST_LETTERS.has(bytes[start] ?? 0)) return false;
  const text = bytes.toString('latin1', start, end);
  return STATUS_LINE.test(text) || FRAMING_FIELD.test(text);
}
