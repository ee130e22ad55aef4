/** Splits a text into tokens, one for each whitespace-separated word. */
export function splitWords(text: string): readonly string[] {
  return text.split(/\s+/).filter((word) => word !== '');
}
