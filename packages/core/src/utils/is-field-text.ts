const FIELD_TEXT = /^[\t -~\u0080-\u00ff]*$/;

/** Whether a text has only bytes that the value of a field, or a reason phrase, may have (RFC 9110, section 5.5). */
export function isFieldText(text: string): boolean {
  return FIELD_TEXT.test(text);
}
