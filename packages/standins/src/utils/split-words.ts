/** Splits a text into tokens, which are its whitespace-separated words. */
export function splitWords(text: string): readonly string[] {
  return text.split(/\s+/).filter((word) => word !== '');
}
