/** First letters of the names below, in both cases. */
const FIRST_LETTERS: ReadonlySet<number> = new Set(Buffer.from('HCTct'));
const STATUS_LINE = /^HTTP\/\d(?:\.\d)? \d{3}(?: |$)/;
const FRAMING_FIELD = /^(?:content-length|content-type|transfer-encoding|connection)\s*:/i;

/**
 * Whether a line of an event stream belongs to the head of an HTTP response: its status line, or a
 * field that no event has. The status line may be hidden behind the start of an event.
 */
export function isHeadLine(line: Buffer): boolean {
  const [first = 0] = line;
  if (!FIRST_LETTERS.has(first)) return false;
  const text = line.toString('latin1');
  return STATUS_LINE.test(text) || FRAMING_FIELD.test(text);
}
