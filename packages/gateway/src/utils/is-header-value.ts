const HEADER_VALUE = /^[!-~\u0080-\u00ff](?:[\t -~\u0080-\u00ff]*[!-~\u0080-\u00ff])?$/;

/** Whether a text arrives unchanged as the value of a header. */
export function isHeaderValue(text: string): boolean {
  return HEADER_VALUE.test(text);
}
